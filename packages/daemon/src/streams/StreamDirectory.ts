import {
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
  readonly listeners: VersionListener[];
  /** Peers that have not answered. */
  readonly waiting: Set<string>;
  cancelTimers: () => void;
}

/** Time after which a question is sent again, as a datagram may be lost. */
const repeatMilliseconds = 60;
const answerTimeoutMilliseconds = 160;

/**
 * Finds the software version at which a stream began, for callers that resume it at any daemon.
 *
 * While a service may have several versions, the daemon that begins a stream tells a few others, which are
 * picked by a hash of the request's id. The daemon at which the caller resumes it asks them. Only
 * a daemon that knows all versions which served of late answers without a record.
 */
export class StreamDirectory {
  private readonly versions = StreamVersions.create();
  private readonly history = VersionHistory.create();
  private readonly questionsById = new Map<string, Question>();

  private constructor(private readonly dependencies: StreamDirectoryDependencies) {}

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
    this.history.recordList(list, this.dependencies.getNow());
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
    if (this.history.getOnlyVersion(service, now) === undefined && isSendable(id + version)) {
      this.getKeepers(id).forEach((keeper) => {
        this.dependencies.send(keeper, { kind: "keep", id, version });
      });
    }
  }

  /**
   * Finds the version at which a stream began; the listener may be called at once.
   * @param id - Id of the request that began the stream.
   * @param service - Name of the service.
   * @param listener - Receives the version.
   */
  findVersion(id: string, service: string, listener: VersionListener): void {
    const known = this.getKnownVersion(id, service);
    if (known !== undefined || !isSendable(id)) {
      listener(known);
      return;
    }
    const question = this.questionsById.get(id);
    if (question === undefined) {
      this.ask(id, service, listener);
    } else {
      question.listeners.push(listener);
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
        const version = this.getKnownVersion(id, message.service);
        this.dependencies.send(sender, { kind: "answer", id, version });
        break;
      }
      case "answer":
        this.handleAnswer(id, sender, message.version);
        break;
    }
  }

  private getKnownVersion(id: string, service: string): string | undefined {
    const now = this.dependencies.getNow();
    return this.versions.get(id) ?? this.history.getOnlyVersion(service, now);
  }

  private getKeepers(id: string): readonly string[] {
    const { address, getPeerAddresses } = this.dependencies;
    return pickKeepers(id, [address, ...getPeerAddresses()]).filter((each) => each !== address);
  }

  private ask(id: string, service: string, listener: VersionListener): void {
    const keepers = this.getKeepers(id);
    if (keepers.length === 0) {
      listener(undefined);
      return;
    }
    const { schedule, send } = this.dependencies;
    const question: Question = {
      listeners: [listener],
      waiting: new Set(keepers),
      cancelTimers: () => undefined,
    };
    this.questionsById.set(id, question);
    const sendQuestion = (): void => {
      question.waiting.forEach((keeper) => {
        send(keeper, { kind: "ask", id, service });
      });
    };
    const cancelRepeat = schedule(repeatMilliseconds, sendQuestion);
    const cancelTimeout = schedule(answerTimeoutMilliseconds, () => {
      this.settle(id, question, undefined);
    });
    question.cancelTimers = () => {
      cancelRepeat();
      cancelTimeout();
    };
    sendQuestion();
  }

  private handleAnswer(id: string, sender: string, version: string | undefined): void {
    const question = this.questionsById.get(id);
    if (question?.waiting.delete(sender) !== true) {
      return;
    }
    if (version !== undefined || question.waiting.size === 0) {
      this.settle(id, question, version);
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
