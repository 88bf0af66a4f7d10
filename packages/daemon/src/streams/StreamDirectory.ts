import {
  askedKeeperCount,
  pickKeepers,
  StreamVersions,
  toldKeeperCount,
  VersionHistory,
  type RegistryList,
  type Upstream,
} from "@pistachioway/kernel";
import { OwnStreams, type Peer } from "./OwnStreams.js";
import { isSendable, type StreamMessage } from "./streamMessages.js";
import { VersionQuestion, type OwnKnowledge, type VersionListener } from "./VersionQuestion.js";

/** What the directory depends on. */
export interface StreamDirectoryDependencies {
  /** Address at which this daemon receives datagrams. */
  readonly address: string;
  /** Whether the whole installation starts for the first time, so that no stream has begun before. */
  readonly isFirstStart: boolean;
  /** Gets the other live daemons. */
  readonly getPeers: () => readonly Peer[];
  /** Checks whether this daemon may be gone, or miss versions, before it could tell others of its streams. */
  readonly isAtRisk: () => boolean;
  readonly send: (target: string, message: StreamMessage) => void;
  /** Calls a function after a time; the result cancels it. */
  readonly schedule: (milliseconds: number, run: () => void) => () => void;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
}

/** A question with the timers that end it. */
interface OpenQuestion {
  readonly question: VersionQuestion;
  cancelTimers: () => void;
  /** True once only a list that is newer than the question can prove the version. */
  awaitsList: boolean;
}

/** Time after which a question is sent again, as a datagram may be lost. */
const repeatMilliseconds = 60;
const answerTimeoutMilliseconds = 120;
/** Time after which a list that is newer than a question is not waited for any longer. */
const listTimeoutMilliseconds = 2_000;
/** Shortest time between two questions for the only version of a service. */
const onlyVersionIntervalMilliseconds = 2_000;

/**
 * Finds the software version at which a stream began, for callers that resume it at any daemon.
 *
 * While others could not tell by themselves, the daemon that has a stream tells a few of them, which are picked by a
 * hash of the request's id. The daemon at which the caller resumes it asks the first of those that are left. Without a
 * record only lists can tell: the service has had one version only, and nobody who answers knows of another.
 */
export class StreamDirectory {
  private readonly versions = StreamVersions.create();
  private readonly history: VersionHistory;
  private readonly ownStreams: OwnStreams;
  private readonly questionsById = new Map<string, OpenQuestion>();
  /** When others were last asked for the only version of a service. */
  private readonly askedAtByService = new Map<string, number>();
  private readonly startedAt: number;
  private hadPeers = false;
  /** Time at which the registry's list was last known to be current. */
  private listConfirmedAt = -Infinity;

  private constructor(private readonly dependencies: StreamDirectoryDependencies) {
    this.startedAt = dependencies.getNow();
    this.history = VersionHistory.create(dependencies.isFirstStart);
    this.ownStreams = OwnStreams.create({
      getKeepers: (id) => this.getKeepers(id, toldKeeperCount),
      isUncertain: (service) =>
        dependencies.isAtRisk() ||
        this.history.getOnlyVersion(service, dependencies.getNow()) === undefined,
      tell: ({ id, version }, { address }) => {
        dependencies.send(address, { kind: "keep", id, version });
      },
    });
  }

  /**
   * Creates a directory without streams.
   * @param dependencies - What it depends on.
   */
  static create(dependencies: StreamDirectoryDependencies): StreamDirectory {
    return new StreamDirectory(dependencies);
  }

  /**
   * Records the list that the registry has now; called several times a second.
   * @param list - The list.
   */
  recordList(list: RegistryList): void {
    const now = this.dependencies.getNow();
    const peers = this.dependencies.getPeers();
    this.hadPeers ||= peers.length > 0;
    this.listConfirmedAt = now - list.ageMilliseconds;
    this.history.recordList(list, now);
    this.ownStreams.tellMissing(peers, now);
    this.settleByList();
  }

  /**
   * Records that an upstream is listed, also one that leaves before the next list is recorded.
   * @param upstream - The upstream.
   */
  recordUpstream(upstream: Upstream): void {
    this.history.recordUpstream(upstream, this.dependencies.getNow());
  }

  /**
   * Records that a stream begins at an upstream, before its first event can have reached the caller.
   * @param id - Id of the request.
   * @param service - Name of the service.
   * @param version - Software version of the upstream.
   */
  addStream(id: string, service: string, version: string): void {
    const now = this.dependencies.getNow();
    this.versions.add(id, version, now);
    if (!isSendable(id + version)) {
      return;
    }
    this.ownStreams.add(id, service, version, now);
    if (this.history.getOnlyVersion(service, now) === undefined) {
      this.askWhetherOnly(id, service, now);
    }
  }

  /**
   * Records that the caller has received a stream whole.
   * @param id - Id of the request that began it.
   */
  removeStream(id: string): void {
    this.ownStreams.remove(id);
  }

  /**
   * Finds the version at which a stream began; the listener may be called at once.
   * @param id - Id of the request that began the stream.
   * @param service - Name of the service.
   * @param listener - Receives the version.
   */
  findVersion(id: string, service: string, listener: VersionListener): void {
    const known = this.versions.get(id);
    if (known !== undefined) {
      listener(known);
      return;
    }
    this.ask(id, service, (found) => {
      const version = this.versions.get(id) ?? found;
      if (version !== undefined) {
        // This daemon has the stream now, and may be gone before its end.
        this.addStream(id, service, version);
      }
      listener(version);
    });
  }

  /**
   * Finds the only version that a service has had while streams that still run can have begun.
   * @param id - Id of a request that nobody has a record of.
   * @param service - Name of the service.
   * @param listener - Receives the version.
   */
  findOnlyVersion(id: string, service: string, listener: VersionListener): void {
    this.ask(id, service, listener);
  }

  /**
   * Handles a message of another daemon.
   * @param message - The message.
   * @param sender - Address that it came from.
   */
  receive(message: StreamMessage, sender: string): void {
    const { id } = message;
    switch (message.kind) {
      case "keep":
        this.versions.add(id, message.version, this.dependencies.getNow());
        break;
      case "ask":
        this.dependencies.send(sender, {
          kind: "answer",
          id,
          version: this.versions.get(id),
          ...this.getOwnKnowledge(message.service),
          keptMilliseconds: Math.round(this.dependencies.getNow() - this.startedAt),
        });
        break;
      case "answer":
        this.handleAnswer(message, sender);
        break;
    }
  }

  private getOwnKnowledge(service: string): OwnKnowledge {
    const now = this.dependencies.getNow();
    return {
      onlyVersion: this.history.getOnlyVersion(service, now),
      hasSeveral: this.history.hasSeveralVersions(service, now),
    };
  }

  private getKeepers(id: string, count: number): readonly Peer[] {
    const { address, getPeers } = this.dependencies;
    const peersByAddress = new Map(getPeers().map((peer) => [peer.address, peer]));
    return pickKeepers(id, [...peersByAddress.keys()], count + 1)
      .filter((each) => each !== address)
      .slice(0, count)
      .flatMap((each) => peersByAddress.get(each) ?? []);
  }

  private ask(id: string, service: string, listener: VersionListener): void {
    const open = this.questionsById.get(id);
    if (open !== undefined) {
      open.question.addListener(listener);
      return;
    }
    const { getNow, schedule, send } = this.dependencies;
    const keepers = isSendable(id) ? this.getKeepers(id, askedKeeperCount) : [];
    const addresses = keepers.map(({ address }) => address);
    const question = VersionQuestion.create(service, getNow(), addresses);
    question.addListener(listener);
    const sendQuestion = (): void => {
      question.waiting.forEach((keeper) => {
        send(keeper, { kind: "ask", id, service });
      });
    };
    const added: OpenQuestion = { question, cancelTimers: () => undefined, awaitsList: false };
    this.questionsById.set(id, added);
    if (keepers.length === 0) {
      this.handleAllAnswers(id, added);
      return;
    }
    const cancels = [
      schedule(repeatMilliseconds, sendQuestion),
      schedule(answerTimeoutMilliseconds, () => {
        this.handleAllAnswers(id, added);
      }),
    ];
    added.cancelTimers = () => {
      cancels.forEach((cancel) => {
        cancel();
      });
    };
    sendQuestion();
  }

  /** Asks now and then, at the start of a stream, whether others know the only version of its service. */
  private askWhetherOnly(id: string, service: string, now: number): void {
    const askedAt = this.askedAtByService.get(service) ?? -Infinity;
    if (now - askedAt >= onlyVersionIntervalMilliseconds && !this.questionsById.has(id)) {
      this.askedAtByService.set(service, now);
      this.ask(id, service, () => undefined);
    }
  }

  private handleAnswer(answer: Extract<StreamMessage, { kind: "answer" }>, sender: string): void {
    const { id, version, onlyVersion } = answer;
    const open = this.questionsById.get(id);
    if (open?.question.waiting.delete(sender) !== true) {
      return;
    }
    const { question } = open;
    question.addAnswer(answer);
    if (onlyVersion !== undefined) {
      this.history.learnOnlyVersion(question.service, onlyVersion, this.dependencies.getNow());
    }
    if (version !== undefined) {
      this.settle(id, open, version);
    } else if (question.waiting.size === 0 || open.awaitsList) {
      this.handleAllAnswers(id, open);
    }
  }

  /** Settles a question to which no further answer is awaited, or waits for a list that proves the version. */
  private handleAllAnswers(id: string, open: OpenQuestion): void {
    const { question } = open;
    const version = question.getUnrecordedVersion(this.getOwnKnowledge(question.service));
    if (version === undefined || !this.hadPeers || !question.needsCurrentList()) {
      this.settle(id, open, version);
      return;
    }
    if (!open.awaitsList) {
      open.awaitsList = true;
      open.cancelTimers();
      open.cancelTimers = this.dependencies.schedule(listTimeoutMilliseconds, () => {
        this.settle(id, open, undefined);
      });
    }
  }

  /** Settles the questions that were asked before the registry's list was last known to be current. */
  private settleByList(): void {
    for (const [id, open] of this.questionsById) {
      if (open.awaitsList && open.question.askedAt <= this.listConfirmedAt) {
        const { question } = open;
        const own = this.getOwnKnowledge(question.service);
        this.settle(id, open, question.getUnrecordedVersion(own));
      }
    }
  }

  private settle(id: string, open: OpenQuestion, version: string | undefined): void {
    open.cancelTimers();
    if (this.questionsById.delete(id)) {
      open.question.settle(version);
    }
  }
}
