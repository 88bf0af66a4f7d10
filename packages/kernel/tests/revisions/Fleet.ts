import {
  getInForce,
  getPublishedText,
  getRefused,
  getRevisionAnnouncement,
  parseConfiguration,
  revisionsPlugin,
  type ConfigurationParser,
  type RevisionGuard,
  type RevisionsEffect,
  type RevisionsMessage,
  type RevisionsState,
} from "@pistachioway/kernel";
import { sampleText } from "../configuration/sample.js";

interface Member {
  name: string;
  zone: string;
  state: RevisionsState;
  pendingEffects: RevisionsEffect[];
}

const parseResults = new Map<string, ReturnType<ConfigurationParser>>();

/** Parses each text once, since every daemon gets the same result. */
function parse(text: string): ReturnType<ConfigurationParser> {
  const result = parseResults.get(text) ?? parseConfiguration(text);
  parseResults.set(text, result);
  return result;
}

/** Creates a configuration text that is made unique by a mark; an invalid one is refused. */
export function createText(generation: number, mark: string, isValid = true): string {
  const text = sampleText.replace("generation = 2", `generation = ${String(generation)}`);
  return `${isValid ? text : "unknown = 1\n" + text}\n# ${mark}\n`;
}

/** Simulates daemons of two zones, a platform and a lossy network, one message at a time. */
export class Fleet {
  now = 0;
  reads = 0;
  platform = { revision: 1, text: createText(1, "first") };
  isPlatformDown = false;
  /** Older value that the platform returns instead of its own, if any. */
  staleValue?: { revision: number; text: string };
  members: Member[] = [];
  namesCutFromPlatform: readonly string[] = [];
  /** One line for each effect that operators can see. */
  readonly lines: string[] = [];

  private constructor(private readonly disabledGuards: readonly RevisionGuard[]) {}

  static create(size: number, disabledGuards: readonly RevisionGuard[] = []): Fleet {
    const fleet = new Fleet(disabledGuards);
    for (let index = 0; index < size; index += 1) {
      const name = `d${String(index)}`;
      const state = revisionsPlugin.createState(1);
      fleet.members.push({ name, zone: `z${String(index % 2)}`, state, pendingEffects: [] });
    }
    fleet.members.forEach((_member, index) => {
      fleet.restart(index);
    });
    return fleet;
  }

  /** Restarts a daemon; with `knowsPeers` false it learns its peers by `sendPeers`. */
  restart(index: number, knowsPeers = true): void {
    const member = this.getMember(index);
    member.state = revisionsPlugin.createState(1);
    member.pendingEffects = [];
    const peers = knowsPeers ? this.getPeerNames(index) : undefined;
    const { name: daemon, zone } = member;
    const { disabledGuards } = this;
    this.send(index, { kind: "start", daemon, zone, peers, parse, disabledGuards });
  }

  sendPeers(index: number): void {
    this.send(index, { kind: "peers", names: this.getPeerNames(index) });
  }

  private getPeerNames(index: number): string[] {
    return this.members.flatMap(({ name }, at) => (at === index ? [] : [name]));
  }

  send(index: number, message: RevisionsMessage): void {
    const member = this.getMember(index);
    const { effects } = revisionsPlugin.handle(member.state, message, this.now);
    for (const effect of effects) {
      this.recordEffect(member, effect);
    }
  }

  /** Delivers one daemon's announcement to another. */
  deliver(from: number, to: number): void {
    if (from !== to) {
      this.send(to, {
        kind: "announcement",
        announcement: getRevisionAnnouncement(this.getMember(from).state),
      });
    }
  }

  /** Answers the oldest pending read or fetch of a daemon. */
  answer(index: number, isLost = false): void {
    const member = this.getMember(index);
    const effect = member.pendingEffects.shift();
    if (effect?.kind === "read") {
      this.send(index, this.answerRead(member.name, effect.after, isLost));
    } else if (effect?.kind === "fetch") {
      const owner = this.members.find(({ name }) => name === effect.from);
      const text = owner && getPublishedText(owner.state, effect.revision);
      const { from, revision } = effect;
      const message: RevisionsMessage =
        text === undefined || isLost
          ? { kind: "fetchFailed", from }
          : {
              kind: "published",
              revision: revision.revision,
              text,
              source: { kind: "peer", name: from },
            };
      this.send(index, message);
    }
  }

  /** Advances the clock by 500 ms a round; every daemon receives all announcements and answers. */
  runRounds(rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      this.now += 500;
      this.members.forEach((_member, to) => {
        this.members.forEach((_other, from) => {
          this.deliver(from, to);
        });
        this.answer(to);
        this.answer(to);
        this.send(to, { kind: "tick" });
      });
    }
  }

  describe(): string[] {
    return this.members.map(({ state }) => {
      const inForce = getInForce(state)?.revision;
      const refused = getRefused(state)?.revision;
      return `${inForce ? formatRevision(inForce) : "none"} refused ${refused ? formatRevision(refused) : "none"}`;
    });
  }

  getMember(index: number): Member {
    const member = this.members[index % this.members.length];
    if (member === undefined) {
      throw new TypeError("the fleet has no members");
    }
    return member;
  }

  private answerRead(name: string, after: number | undefined, isLost: boolean): RevisionsMessage {
    const value = this.staleValue ?? this.platform;
    if (this.isPlatformDown || isLost || this.namesCutFromPlatform.includes(name)) {
      return { kind: "readFailed" };
    }
    return value.revision === after
      ? { kind: "unchanged" }
      : { kind: "published", ...value, source: { kind: "platform" } };
  }

  private recordEffect(member: Member, effect: RevisionsEffect): void {
    if (effect.kind === "read" || effect.kind === "fetch") {
      this.reads += effect.kind === "read" ? 1 : 0;
      member.pendingEffects.push(effect);
    } else if (effect.kind === "conflict") {
      this.lines.push(`${member.name} conflict ${formatRevision(effect.inForce)}`);
    } else if (effect.kind !== "announce") {
      this.lines.push(`${member.name} ${effect.kind} ${formatRevision(effect.revision)}`);
    }
  }
}

function formatRevision({
  generation,
  revision,
}: {
  generation: number;
  revision: number;
}): string {
  return `${String(generation)}.${String(revision)}`;
}
