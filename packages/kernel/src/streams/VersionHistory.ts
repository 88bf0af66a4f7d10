import type { Upstream } from "../upstreams/index.js";
import { freshListMilliseconds, streamLifetimeMilliseconds } from "./constants.js";

/** The registry's list as a daemon knows it. */
export interface RegistryList {
  readonly upstreams: readonly Upstream[];
  /** Time since the list was last known to be complete and current; Infinity when it never was. */
  readonly ageMilliseconds: number;
  /** Complete reads so far. What changed before a complete read is unknown, unlike before an answer of a watch. */
  readonly readCount: number;
}

/** What a daemon has seen of one service. */
interface ServiceHistory {
  /** Since when the daemon knows all changes, without a gap. */
  knownSince: number;
  /** When each software version was listed last. */
  readonly listedAtByVersion: Map<string, number>;
}

/**
 * The software versions of each service's upstreams as this daemon has seen them, so that it can tell
 * whether a stream may have begun at another version than the one that it knows. Times are monotonic
 * milliseconds.
 */
export class VersionHistory {
  private readonly historiesByService = new Map<string, ServiceHistory>();
  private readCount: number | undefined;
  /** Whether the newest list is current. */
  private isCurrent = false;

  private constructor(
    /** Since when all changes are known, if the next list is the first: -Infinity when nothing was before. */
    private knownSince: number | undefined,
  ) {}

  /**
   * Creates an empty history.
   * @param isFirstStart - Whether the whole installation starts for the first time, so that no stream has begun before.
   */
  static create(isFirstStart = false): VersionHistory {
    return new VersionHistory(isFirstStart ? -Infinity : undefined);
  }

  /**
   * Records the list that the registry has now. While it is not current it proves nothing; what was known before is
   * forgotten only if changes were missed.
   * @param list - The list.
   * @param now - Current time.
   */
  recordList(list: RegistryList, now: number): void {
    this.isCurrent = list.ageMilliseconds <= freshListMilliseconds;
    if (!Number.isFinite(list.ageMilliseconds)) {
      return;
    }
    const wasRead = this.readCount !== undefined;
    if (wasRead && this.readCount !== list.readCount) {
      this.recordGap(now);
    }
    this.readCount = list.readCount;
    this.knownSince ??= now;
    list.upstreams.forEach((upstream) => {
      this.recordUpstream(upstream, now);
    });
  }

  /**
   * Records that an upstream is listed, also one that leaves before the next list is recorded.
   * @param upstream - The upstream.
   * @param now - Current time.
   */
  recordUpstream({ service, softwareVersion }: Upstream, now: number): void {
    const knownSince = this.knownSince ?? now;
    const history = this.historiesByService.get(service) ?? createHistory(knownSince);
    history.listedAtByVersion.set(softwareVersion, now);
    this.historiesByService.set(service, history);
  }

  /**
   * Learns from a daemon that knows the lists of a service that it had one version only while its streams that still
   * run can have begun.
   * @param service - Name of the service.
   * @param version - The version.
   * @param now - Current time.
   */
  learnOnlyVersion(service: string, version: string, now: number): void {
    const history = this.historiesByService.get(service);
    if (
      history !== undefined &&
      getRecentVersions(history, now).every((each) => each === version)
    ) {
      history.knownSince = Math.min(history.knownSince, now - streamLifetimeMilliseconds);
    }
  }

  /**
   * Gets the only software version at which streams of a service that still run can have begun.
   * @param service - Name of the service.
   * @param now - Current time.
   * @returns Undefined when there may be several, or when the daemon cannot know.
   */
  getOnlyVersion(service: string, now: number): string | undefined {
    const history = this.historiesByService.get(service);
    const isKnown = history !== undefined && now - history.knownSince >= streamLifetimeMilliseconds;
    if (!this.isCurrent || !isKnown) {
      return undefined;
    }
    const recent = getRecentVersions(history, now);
    return recent.length === 1 ? recent[0] : undefined;
  }

  /**
   * Checks whether this daemon knows of several software versions at which streams of a service that still run can have
   * begun.
   * @param service - Name of the service.
   * @param now - Current time.
   */
  hasSeveralVersions(service: string, now: number): boolean {
    const history = this.historiesByService.get(service);
    return history !== undefined && getRecentVersions(history, now).length > 1;
  }

  /** Versions may have come and gone unseen until now. */
  private recordGap(now: number): void {
    this.knownSince = now;
    for (const history of this.historiesByService.values()) {
      history.knownSince = now;
    }
  }
}

function createHistory(knownSince: number): ServiceHistory {
  return { knownSince, listedAtByVersion: new Map<string, number>() };
}

/** Gets the versions that were listed while streams that still run can have begun, and drops the others. */
function getRecentVersions({ listedAtByVersion }: ServiceHistory, now: number): readonly string[] {
  for (const [version, listedAt] of listedAtByVersion) {
    if (listedAt < now - streamLifetimeMilliseconds) {
      listedAtByVersion.delete(version);
    }
  }
  return [...listedAtByVersion.keys()];
}
