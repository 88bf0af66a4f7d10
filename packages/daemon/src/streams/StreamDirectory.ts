import {
  maxViewLagMilliseconds,
  pickKeepers,
  StreamVersions,
  VersionHistory,
  type RegistryList,
} from "@pistachioway/kernel";
import { isSendable, type StreamMessage } from "./streamMessages.js";

/** What the directory depends on. */
export interface StreamDirectoryDependencies {
  /** Address at which this daemon receives datagrams. */
  readonly address: string;
  /** Whether the whole installation starts for the first time, so that no stream has begun before. */
  readonly isFirstStart: boolean;
  /** Gets the addresses of the other live daemons. */
  readonly getPeerAddresses: () => readonly string[];
  readonly send: (target: string, message: StreamMessage) => void;
  /** Calls a function after a time; the result cancels it. */
  readonly schedule: (milliseconds: number, run: () => void) => () => void;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
}

/** Receives the software version at which a stream began; undefined when nobody knows it. */
export type VersionListener = (version: string | undefined) => void;

interface Question {
  readonly service: string;
  /** Whether its id is that of the request which began the stream, so that keepers without a record tell something. */
  readonly isNamed: boolean;
  readonly listeners: VersionListener[];
  /** Peers that have not answered. */
  readonly waiting: Set<string>;
  /** Versions of which a peer knows that the service had no other of late. */
  readonly onlyVersions: Set<string>;
  /** Shortest time for which a daemon without a record has kept versions. */
  keptMilliseconds: number;
  cancelTimers: () => void;
}

/** A stream that began at this daemon. */
interface OwnStream {
  readonly version: string;
  readonly begunAt: number;
  /** Addresses of the daemons that were told. */
  readonly told: Set<string>;
}

/** Time after which a question is sent again, as a datagram may be lost. */
const repeatMilliseconds = 60;
const answerTimeoutMilliseconds = 120;
/** Shortest time between two questions for the only version of a service. */
const onlyVersionIntervalMilliseconds = 2_000;
/** Time after its start in which a stream is told to daemons that become its keepers. */
const ownStreamMilliseconds = 10_000;

/**
 * Finds the software version at which a stream began, for callers that resume it at any daemon.
 *
 * While a service may have several versions, the daemon that begins a stream tells a few others, which are
 * picked by a hash of the request's id. The daemon at which the caller resumes it asks them. Without a
 * record only a daemon that knows all versions which served of late can tell: the only one, or the one that was
 * alone before, if no keeper has a record and all have kept them since.
 */
export class StreamDirectory {
  private readonly versions = StreamVersions.create();
  private readonly history: VersionHistory;
  private readonly questionsById = new Map<string, Question>();
  private readonly ownStreamsById = new Map<string, OwnStream>();
  /** When others were last asked for the only version of a service. */
  private readonly askedAtByService = new Map<string, number>();
  /** The live daemons when keepers were last told of own streams. */
  private toldAddresses = "";
  private readonly startedAt: number;

  private constructor(private readonly dependencies: StreamDirectoryDependencies) {
    this.startedAt = dependencies.getNow();
    this.history = VersionHistory.create(dependencies.isFirstStart);
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
    this.history.recordList(list, now);
    this.dropOldOwnStreams(now);
    this.tellNewKeepers();
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
    if (this.history.getOnlyVersion(service, now) !== version && isSendable(id + version)) {
      const stream = { version, begunAt: now, told: new Set<string>() };
      this.ownStreamsById.delete(id);
      this.ownStreamsById.set(id, stream);
      this.tellKeepers(id, stream);
      this.askWhetherOnly(id, service, now);
    }
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
    const question = this.questionsById.get(id);
    if (question === undefined) {
      this.ask(id, service, true, listener);
    } else {
      question.listeners.push(listener);
    }
  }

  /**
   * Finds the only version that a service has had while streams that still run can have begun.
   * @param id - Id of a request that nobody has a record of.
   * @param service - Name of the service.
   * @param listener - Receives the version.
   */
  findOnlyVersion(id: string, service: string, listener: VersionListener): void {
    const known = this.history.getOnlyVersion(service, this.dependencies.getNow());
    if (known === undefined) {
      this.ask(id, service, false, listener);
    } else {
      listener(known);
    }
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
      case "ask": {
        const version = this.versions.get(id);
        const now = this.dependencies.getNow();
        const onlyVersion = this.history.getOnlyVersion(message.service, now);
        const keptMilliseconds = this.getKeptMilliseconds();
        this.dependencies.send(sender, {
          kind: "answer",
          id,
          version,
          onlyVersion,
          keptMilliseconds,
        });
        break;
      }
      case "answer":
        this.handleAnswer(message, sender);
        break;
    }
  }

  private getKeepers(id: string): readonly string[] {
    const { address, getPeerAddresses } = this.dependencies;
    return pickKeepers(id, [address, ...getPeerAddresses()]).filter((each) => each !== address);
  }

  private ask(id: string, service: string, isNamed: boolean, listener: VersionListener): void {
    const keepers = isSendable(id) ? this.getKeepers(id) : [];
    const question: Question = {
      service,
      isNamed,
      listeners: [listener],
      waiting: new Set(keepers),
      onlyVersions: new Set(),
      keptMilliseconds: this.getKeptMilliseconds(),
      cancelTimers: () => undefined,
    };
    if (keepers.length === 0) {
      this.settle(id, question, this.getUnrecordedVersion(question));
      return;
    }
    const sendQuestion = (): void => {
      question.waiting.forEach((keeper) => {
        this.dependencies.send(keeper, { kind: "ask", id, service });
      });
    };
    const { schedule } = this.dependencies;
    const cancelRepeat = schedule(repeatMilliseconds, sendQuestion);
    const cancelTimeout = schedule(answerTimeoutMilliseconds, () => {
      this.settle(id, question, this.getUnrecordedVersion(question));
    });
    question.cancelTimers = () => {
      cancelRepeat();
      cancelTimeout();
    };
    this.questionsById.set(id, question);
    sendQuestion();
  }

  /** Asks now and then, at the start of a stream, whether others know the only version of its service. */
  private askWhetherOnly(id: string, service: string, now: number): void {
    const askedAt = this.askedAtByService.get(service) ?? -Infinity;
    if (now - askedAt >= onlyVersionIntervalMilliseconds && !this.questionsById.has(id)) {
      this.askedAtByService.set(service, now);
      this.ask(id, service, false, () => undefined);
    }
  }

  private handleAnswer(
    { id, version, onlyVersion, keptMilliseconds }: Extract<StreamMessage, { kind: "answer" }>,
    sender: string,
  ): void {
    const question = this.questionsById.get(id);
    if (question?.waiting.delete(sender) !== true) {
      return;
    }
    question.keptMilliseconds = Math.min(question.keptMilliseconds, keptMilliseconds);
    if (onlyVersion !== undefined) {
      question.onlyVersions.add(onlyVersion);
      this.history.learnOnlyVersion(question.service, onlyVersion, this.dependencies.getNow());
    }
    if (version !== undefined || question.waiting.size === 0) {
      this.settle(id, question, version ?? this.getUnrecordedVersion(question));
    }
  }

  /** Gets the version of a stream that no daemon which answered has a record of, if it can only be one. */
  private getUnrecordedVersion(question: Question): string | undefined {
    const { service, onlyVersions } = question;
    const own = this.history.getOnlyVersion(service, this.dependencies.getNow());
    const versions = new Set(own === undefined ? onlyVersions : [own, ...onlyVersions]);
    const [version] = versions;
    return versions.size === 1 ? version : this.getFormerVersion(question);
  }

  /** Gets the version that was alone before others came, if all keepers have kept versions since. */
  private getFormerVersion(question: Question): string | undefined {
    const { service, isNamed, waiting, keptMilliseconds } = question;
    const now = this.dependencies.getNow();
    const former = this.history.getFormerVersion(service, now);
    if (former === undefined || waiting.size > 0 || !isNamed) {
      return undefined;
    }
    const neededMilliseconds = now - former.until + maxViewLagMilliseconds;
    return keptMilliseconds >= neededMilliseconds ? former.version : undefined;
  }

  private getKeptMilliseconds(): number {
    return Math.round(this.dependencies.getNow() - this.startedAt);
  }

  private dropOldOwnStreams(now: number): void {
    for (const [id, { begunAt }] of this.ownStreamsById) {
      if (now - begunAt < ownStreamMilliseconds) {
        return;
      }
      this.ownStreamsById.delete(id);
    }
  }

  /** Tells daemons that were not known, or not live, when own streams began. */
  private tellNewKeepers(): void {
    const addresses = this.dependencies.getPeerAddresses().join(" ");
    if (addresses === this.toldAddresses) {
      return;
    }
    this.toldAddresses = addresses;
    this.ownStreamsById.forEach((stream, id) => {
      this.tellKeepers(id, stream);
    });
  }

  private tellKeepers(id: string, { version, told }: OwnStream): void {
    for (const keeper of this.getKeepers(id)) {
      if (!told.has(keeper)) {
        told.add(keeper);
        this.dependencies.send(keeper, { kind: "keep", id, version });
      }
    }
  }

  private settle(id: string, question: Question, version: string | undefined): void {
    this.questionsById.delete(id);
    question.cancelTimers();
    if (version !== undefined) {
      this.versions.add(id, version, this.dependencies.getNow());
    }
    question.listeners.forEach((listener) => {
      listener(version);
    });
  }
}
