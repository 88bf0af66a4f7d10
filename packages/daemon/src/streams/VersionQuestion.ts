import { streamLifetimeMilliseconds } from "@pistachioway/kernel";
import type { StreamMessage } from "./streamMessages.js";

/** Receives the software version at which a stream began; undefined when nobody knows it. */
export type VersionListener = (version: string | undefined) => void;

/** What a daemon's own lists tell of the versions of a service. */
export interface OwnKnowledge {
  /** The only version that the service had of late, if this daemon knows. */
  readonly onlyVersion: string | undefined;
  /** Whether this daemon knows that there were several. */
  readonly hasSeveral: boolean;
}

/** A question to other daemons for the version at which a stream began, and their answers. */
export class VersionQuestion {
  private readonly listeners: VersionListener[] = [];
  /** Versions of which a peer knows that the service had no other of late. */
  private readonly onlyVersions = new Set<string>();
  /** Whether a peer knows that the service had several versions, so that no list proves one. */
  private wasDenied = false;
  /**
   * Whether a peer has answered that could have a record, or knows all lists of late. One that has just started is no
   * such peer: it remembers nothing.
   */
  private hasInformedAnswer = false;

  private constructor(
    readonly service: string,
    /** When the question was asked, in monotonic milliseconds. */
    readonly askedAt: number,
    /** Peers that have not answered. */
    readonly waiting: Set<string>,
  ) {}

  /**
   * Creates a question without answers.
   * @param service - Name of the service.
   * @param askedAt - Current time.
   * @param peers - Addresses of the peers that are asked.
   */
  static create(service: string, askedAt: number, peers: readonly string[]): VersionQuestion {
    return new VersionQuestion(service, askedAt, new Set(peers));
  }

  /** Adds a function that receives the result. */
  addListener(listener: VersionListener): void {
    this.listeners.push(listener);
  }

  /**
   * Adds the answer of a peer that has no record of the stream.
   * @param answer - The answer.
   */
  addAnswer({
    onlyVersion,
    hasSeveral,
    keptMilliseconds,
  }: Extract<StreamMessage, { kind: "answer" }>): void {
    this.wasDenied ||= hasSeveral;
    this.hasInformedAnswer ||=
      onlyVersion !== undefined || keptMilliseconds >= streamLifetimeMilliseconds;
    if (onlyVersion !== undefined) {
      this.onlyVersions.add(onlyVersion);
    }
  }

  /**
   * Gets the version of a stream that nobody has a record of: the only one that the service had of late. A daemon that
   * is out of step may miss a version, so that one that knows of several overrules it.
   * @param own - What this daemon's lists tell.
   */
  getUnrecordedVersion({ onlyVersion, hasSeveral }: OwnKnowledge): string | undefined {
    const versions = new Set(this.onlyVersions);
    if (onlyVersion !== undefined) {
      versions.add(onlyVersion);
    }
    const [version] = versions;
    return hasSeveral || this.wasDenied || versions.size !== 1 ? undefined : version;
  }

  /**
   * Checks whether this daemon's own lists must prove the result, because no peer that could have a record has answered.
   */
  needsCurrentList(): boolean {
    return !this.hasInformedAnswer && !this.wasDenied;
  }

  /** Tells all listeners the result. */
  settle(version: string | undefined): void {
    this.listeners.forEach((listener) => {
      listener(version);
    });
  }
}
