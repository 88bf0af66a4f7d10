import {
  busyProbesPerCheck,
  doubtPauseMilliseconds,
  groupSilenceMilliseconds,
  quietMilliseconds,
  recoveryProbeMilliseconds,
  streamIdleTimeoutMilliseconds,
  trialIntervalMilliseconds,
} from "./constants.js";
import type { UpstreamEntry } from "./UpstreamEntry.js";
import type { UpstreamTable } from "./UpstreamTable.js";

/** A service of which this daemon has lost all upstreams, or reaches some again. */
export interface ServiceReachChange {
  readonly service: string;
  readonly isReached: boolean;
  /** Upstreams of the service that are in service. */
  readonly listed: number;
}

/** What a check found. */
export interface ReachCheck {
  /** Upstreams that hold requests and have sent nothing for too long. */
  readonly silent: readonly UpstreamEntry[];
  readonly changes: readonly ServiceReachChange[];
}

/**
 * Gets the time without a byte after which an upstream that holds requests is silent, by the work that it holds; undefined
 * where the fixed bounds apply.
 */
export type SilenceLimit = (entry: UpstreamEntry, now: number) => number | undefined;

/** What this daemon knows of its paths to the upstreams of one service. */
interface ServiceState {
  isReached: boolean;
  isDoubted: boolean;
  doubtedAt: number;
  /** When all its paths began to count as silent; undefined while they do not. */
  silentSince: number | undefined;
  trialAt: number;
}

/**
 * Decides which upstreams this daemon can reach by itself.
 *
 * One upstream that fails says little of the others. Where all paths of a service are quiet while one fails, or
 * several upstreams with requests are silent together, the daemon itself may be cut off: all paths of the service
 * are doubted until one of them proves itself. Instants are monotonic milliseconds.
 */
export class UpstreamReach {
  private readonly statesByService = new Map<string, ServiceState>();
  /** When a probe last opened a connection. */
  private recoveredAt = -Infinity;

  private constructor(
    private readonly upstreams: UpstreamTable,
    private readonly getWorkLimit: SilenceLimit,
  ) {}

  /**
   * Creates the reach of a daemon that has met no failure.
   * @param upstreams - Upstreams that the registry lists.
   * @param getWorkLimit - Gets the bound of silence by the work of an upstream.
   */
  static create(
    upstreams: UpstreamTable,
    getWorkLimit: SilenceLimit = () => undefined,
  ): UpstreamReach {
    return new UpstreamReach(upstreams, getWorkLimit);
  }

  /** Gets the time without a byte after which an upstream that holds requests is silent. */
  getSilenceLimit(entry: UpstreamEntry, now: number): number {
    return this.getWorkLimit(entry, now) ?? entry.getUsualSilenceLimit();
  }

  /** Gets the names of the services none of whose upstreams this daemon can reach by itself. */
  getUnreachedServices(): readonly string[] {
    return [...this.groupByService()]
      .filter(([, entries]) => !getOffered(entries).some(isReachable))
      .map(([service]) => service);
  }

  /** Records that no connection to an upstream could be opened. */
  recordConnectFailure(entry: UpstreamEntry, now: number): void {
    entry.path.recordConnectFailure(now);
    const entries = this.getEntries(entry.record.service);
    if (now - getProvenAt(entries) > quietMilliseconds) {
      this.startDoubt(entry.record.service, entries, now);
    }
  }

  /** Records that a probe of an upstream opened no connection. */
  recordProbeFailure(entry: UpstreamEntry, now: number): void {
    if (entry.path.getReceivedAt() < entry.path.getProbedAt()) {
      this.recordConnectFailure(entry, now);
    }
  }

  /** Records that a probe of an upstream has opened a connection. */
  recordConnected(entry: UpstreamEntry, now: number): void {
    entry.recordConnected(now);
    this.recoveredAt = now;
  }

  /**
   * Checks the upstreams; called about ten times a second.
   * @param now - Current time.
   */
  check(now: number): ReachCheck {
    const groups = this.groupByService();
    const silent = [...groups.values()].flat().filter((entry) => this.checkEntry(entry, now));
    for (const [service, entries] of groups) {
      this.endDoubtIfProven(service, entries);
      this.doubtIfSilentTogether(service, entries, now);
      this.checkSilence(service, entries, now);
      this.grantTrials(service, getOffered(entries), now);
    }
    const changes = [...groups].flatMap(([service, entries]) =>
      this.noteChange(service, getOffered(entries)),
    );
    return { silent, changes };
  }

  /**
   * Takes the upstreams to which a connection is to be opened, to see whether it opens: a few of those that were not
   * probed for longest, and all that are due once one is back.
   * @param now - Current time.
   */
  takeProbes(now: number): readonly UpstreamEntry[] {
    const due = this.upstreams
      .getEntries()
      .filter((entry) => entry.path.isProbeDue(now) && !entry.isResting(now))
      .sort((a, b) => a.path.getProbedAt() - b.path.getProbedAt());
    const isRecovering = now - this.recoveredAt < recoveryProbeMilliseconds;
    const probes = isRecovering ? due : due.slice(0, busyProbesPerCheck);
    probes.forEach(({ path }) => {
      path.startProbe(now);
    });
    return probes;
  }

  /** Checks whether an upstream is silent from now on; a connection to one that may be at work shows whether its host is up. */
  private checkEntry(entry: UpstreamEntry, now: number): boolean {
    const usual = entry.getUsualSilenceLimit();
    if (!entry.isSilentFor(usual, now)) {
      return false;
    }
    const limit = this.getSilenceLimit(entry, now);
    if (limit > usual && !entry.isSilentFor(limit, now)) {
      requestProbe(entry, now);
    }
    return entry.avoidIfUnresponsive(now, limit);
  }

  private groupByService(): ReadonlyMap<string, readonly UpstreamEntry[]> {
    const groups = new Map<string, UpstreamEntry[]>();
    for (const entry of this.upstreams.getEntries()) {
      if (entry.isInService()) {
        const group = groups.get(entry.record.service);
        if (group === undefined) {
          groups.set(entry.record.service, [entry]);
        } else {
          group.push(entry);
        }
      }
    }
    return groups;
  }

  private getEntries(service: string): readonly UpstreamEntry[] {
    return this.groupByService().get(service) ?? [];
  }

  private getState(service: string): ServiceState {
    const known = this.statesByService.get(service);
    if (known !== undefined) {
      return known;
    }
    const state: ServiceState = {
      isReached: true,
      isDoubted: false,
      doubtedAt: -Infinity,
      silentSince: undefined,
      trialAt: -Infinity,
    };
    this.statesByService.set(service, state);
    return state;
  }

  private startDoubt(service: string, entries: readonly UpstreamEntry[], now: number): void {
    const state = this.getState(service);
    if (now - state.doubtedAt < doubtPauseMilliseconds) {
      return;
    }
    state.doubtedAt = now;
    state.isDoubted = true;
    entries.forEach(({ path }) => {
      path.startDoubt(now);
    });
  }

  private endDoubtIfProven(service: string, entries: readonly UpstreamEntry[]): void {
    const state = this.getState(service);
    const isProven =
      state.isDoubted && entries.some(({ path }) => path.getProvenAt() > state.doubtedAt);
    if (isProven) {
      state.isDoubted = false;
      entries.forEach(({ path }) => {
        path.endDoubt();
      });
    }
  }

  private doubtIfSilentTogether(
    service: string,
    entries: readonly UpstreamEntry[],
    now: number,
  ): void {
    const waiting = entries.filter((entry) => entry.isSilentFor(groupSilenceMilliseconds, now));
    if (now - getProvenAt(entries) <= groupSilenceMilliseconds) {
      return;
    }
    const atWork = waiting.filter((entry) => this.mayBeAtWork(entry, now));
    if (waiting.length > 1 && atWork.length === 0) {
      this.startDoubt(service, entries, now);
      return;
    }
    waiting.forEach((entry) => {
      requestProbe(entry, now);
    });
  }

  /** Checks whether the work that an upstream holds explains that it sends nothing. */
  private mayBeAtWork(entry: UpstreamEntry, now: number): boolean {
    const limit = this.getWorkLimit(entry, now);
    return (
      limit !== undefined &&
      limit > entry.getUsualSilenceLimit() &&
      !entry.isSilentFor(limit, now) &&
      !entry.path.isSilent()
    );
  }

  /** Takes all paths for silent while several upstreams are and no byte of any comes. */
  private checkSilence(service: string, entries: readonly UpstreamEntry[], now: number): void {
    const state = this.getState(service);
    const receivedAt = Math.max(...entries.map(({ path }) => path.getReceivedAt()));
    if (state.silentSince !== undefined && receivedAt > state.silentSince) {
      state.silentSince = undefined;
      entries.forEach(({ path }) => {
        path.recordBytesOfOthers();
      });
    }
    const silentCount = entries.filter(({ path }) => path.isSilent()).length;
    const isSilent =
      silentCount > 1 &&
      now - receivedAt > streamIdleTimeoutMilliseconds &&
      !entries.some((entry) => entry.running > 0 && this.mayBeAtWork(entry, now));
    if (state.silentSince === undefined && isSilent) {
      state.silentSince = now;
      entries.forEach(({ path }) => {
        path.recordSilenceOfOthers(now);
      });
    }
  }

  /** Allows a request on each path on trial; only one now and then while no path of the service is open. */
  private grantTrials(service: string, entries: readonly UpstreamEntry[], now: number): void {
    const due = entries.filter(
      (entry) =>
        entry.path.getState() === "trial" &&
        entry.running === 0 &&
        !entry.isAvoidedForFailures(now),
    );
    if (entries.some(isReachable)) {
      due.forEach(({ path }) => {
        path.grantTrial();
      });
      return;
    }
    const state = this.getState(service);
    const [first] = due;
    if (first !== undefined && now - state.trialAt >= trialIntervalMilliseconds) {
      state.trialAt = now;
      first.path.grantTrial();
    }
  }

  private noteChange(
    service: string,
    entries: readonly UpstreamEntry[],
  ): readonly ServiceReachChange[] {
    const state = this.getState(service);
    const isReached = entries.some(
      (entry) => isReachable(entry) || entry.path.getState() === "doubted",
    );
    if (isReached === state.isReached) {
      return [];
    }
    state.isReached = isReached;
    return [{ service, isReached, listed: entries.length }];
  }
}

function requestProbe({ path }: UpstreamEntry, now: number): void {
  if (now - path.getProbedAt() >= doubtPauseMilliseconds) {
    path.requestProbe();
  }
}

/** Gets the upstreams that take requests; all of them while the whole service is evacuated. */
function getOffered(entries: readonly UpstreamEntry[]): readonly UpstreamEntry[] {
  const offered = entries.filter((entry) => entry.isOffered());
  return offered.length > 0 ? offered : entries;
}

function isReachable({ path }: UpstreamEntry): boolean {
  return path.getState() === "open" || path.isOpenToOldConnections();
}

function getProvenAt(entries: readonly UpstreamEntry[]): number {
  return entries.reduce((latest, { path }) => Math.max(latest, path.getProvenAt()), -Infinity);
}
