import type { Upstream } from "../upstreams/index.js";
import { freshListMilliseconds, streamLifetimeMilliseconds } from "./constants.js";

/** The registry's list as a daemon knows it. */
export interface RegistryList {
  readonly upstreams: readonly Upstream[];
  /** Time since the list was last known to be complete and current; Infinity when it never was. */
  readonly ageMilliseconds: number;
  /** Clock of the upstreams, in milliseconds since the epoch. */
  readonly wallTime: number;
}

/** What a daemon has seen of one service. Times are monotonic milliseconds. */
interface ServiceHistory {
  /** Since when the daemon has seen every list, without a gap. */
  watchedSince: number;
  /** When each software version was listed last. */
  readonly listedAtByVersion: Map<string, number>;
}

/**
 * The software versions of each service's upstreams as this daemon has seen them, so that it can tell
 * whether a stream may have begun at another version than the one that it knows.
 */
export class VersionHistory {
  private readonly historiesByService = new Map<string, ServiceHistory>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty history. */
  static create(): VersionHistory {
    return new VersionHistory();
  }

  /**
   * Records the list that the registry has now.
   * @param list - The list.
   * @param now - Current time.
   */
  recordList(list: RegistryList, now: number): void {
    const isFresh = list.ageMilliseconds <= freshListMilliseconds;
    if (!isFresh) {
      this.historiesByService.clear();
      return;
    }
    for (const { service, softwareVersion } of list.upstreams) {
      this.getHistory(service, list, now).listedAtByVersion.set(softwareVersion, now);
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
    if (history === undefined || now - history.watchedSince < streamLifetimeMilliseconds) {
      return undefined;
    }
    const recent = [...history.listedAtByVersion]
      .filter(([, listedAt]) => now - listedAt <= streamLifetimeMilliseconds)
      .map(([version]) => version);
    return recent.length === 1 ? recent[0] : undefined;
  }

  private getHistory(service: string, list: RegistryList, now: number): ServiceHistory {
    const known = this.historiesByService.get(service);
    if (known !== undefined) {
      return known;
    }
    const watchedSince = now - getUnchangedMilliseconds(service, list);
    const added = { watchedSince, listedAtByVersion: new Map<string, number>() };
    this.historiesByService.set(service, added);
    return added;
  }
}

/**
 * Gets the time for which a service cannot have had other upstreams than those that are listed, as far as their
 * starts tell: one that started lately may have taken the place of another version.
 */
function getUnchangedMilliseconds(service: string, { upstreams, wallTime }: RegistryList): number {
  const starts = upstreams.filter((each) => each.service === service).map(({ bornAt }) => bornAt);
  return Math.max(0, wallTime - Math.max(...starts));
}
