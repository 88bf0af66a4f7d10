import {
  chooseUpstream,
  findPrefixHolder,
  FleetView,
  getHash,
  PrefixDirectory,
  UpstreamTable,
} from "@pistachioway/kernel";
import type { SiteChoice, SitePolicy } from "./SitePolicy.js";
import type { SiteRequest } from "./SiteRequest.js";
import type { SiteUpstream } from "./SiteUpstream.js";

/** Chooses upstreams with the kernel's own code, as the real router does. */
export class KernelSitePolicy implements SitePolicy {
  readonly upstreams = UpstreamTable.create();
  readonly prefixes = PrefixDirectory.create();
  private readonly view: FleetView;
  private sequence = 0;
  private upstreamsById = new Map<string, SiteUpstream>();

  private constructor(
    router: number,
    private readonly zone: string,
    private readonly getNow: () => number,
  ) {
    this.view = FleetView.create(getAddress(router), []);
  }

  /**
   * Creates the policy of one router, which has no upstreams yet.
   * @param router - Number of the router.
   * @param zone - Availability zone of the router.
   * @param getNow - Gets the time of the clock, in milliseconds.
   */
  static create(router: number, zone: string, getNow: () => number): KernelSitePolicy {
    return new KernelSitePolicy(router, zone, getNow);
  }

  chooseUpstream(request: SiteRequest, tried: ReadonlySet<string>): SiteChoice | undefined {
    const now = this.getNow();
    const { stickyKey, kind } = request;
    const sharedBlocks = request.blocks.slice(0, -1).map(({ id }) => getHash(id));
    const choice = chooseUpstream(this.upstreams.getEntries(), {
      service: kind.service,
      zone: this.zone,
      softwareVersion: undefined,
      stickyKey,
      now,
      excluded: tried,
      maxRunning: Infinity,
      limitShare: { part: 1, position: 0 },
      isRepeatable: true,
      hasIdleConnection: () => false,
    });
    const upstream = choice && this.upstreamsById.get(choice.entry.record.id);
    if (choice === undefined || upstream === undefined) {
      return undefined;
    }
    const prompt = { service: kind.service, stickyKey, sharedBlocks, now };
    const holder = findPrefixHolder(this, prompt, choice.entry, choice.preferred);
    this.prefixes.addHolder(sharedBlocks, choice.entry, now);
    return { upstream, kvCacheSource: holder && this.upstreamsById.get(holder.record.id) };
  }

  recordStart({ record }: SiteUpstream): void {
    this.upstreams.getEntry(record.id)?.startRequest(this.getNow());
  }

  recordReportedLoad({ record }: SiteUpstream, load: number): void {
    const entry = this.upstreams.getEntry(record.id);
    entry?.path.recordConnected(this.getNow());
    entry?.recordReceivedBytes(this.getNow());
    entry?.recordReportedLoad(load, this.getNow());
  }

  recordEnd({ record }: SiteUpstream, outcome: "whole" | "left" | "lost" | "unreached"): void {
    const entry = this.upstreams.getEntry(record.id);
    if (entry === undefined) {
      return;
    }
    entry.finishRequest(false);
    if (outcome === "whole") {
      entry.recordSuccess();
    } else if (outcome === "lost") {
      entry.recordFailure(this.getNow(), this.upstreams.getMedianFailureRate(entry));
    } else if (outcome === "unreached") {
      entry.path.recordConnectFailure(this.getNow());
    }
  }

  setUpstreams(upstreams: readonly SiteUpstream[]): void {
    this.upstreamsById = new Map(upstreams.map((upstream) => [upstream.record.id, upstream]));
    upstreams.forEach(({ record }) => {
      this.upstreams.addUpstream(record, this.getNow());
    });
    for (const { record } of this.upstreams.getEntries()) {
      if (!this.upstreamsById.has(record.id)) {
        this.upstreams.removeUpstream(record.id, this.getNow());
      }
    }
  }

  receiveRunningCounts(router: number, running: Readonly<Record<string, number>>): void {
    const address = getAddress(router);
    const now = this.getNow();
    this.sequence += 1;
    const daemon = { name: address, address, operations: address, zone: "", incarnation: 1 };
    const counts = Object.entries(running).map(([id, count]) => [getHash(id), count] as const);
    const sample = { sequence: this.sequence, sampledAt: now, version: 1, confirmedAt: now };
    this.view.addState({
      ...daemon,
      ...sample,
      running: new Map(counts),
      unreachedServices: new Set(),
    });
    const countsByHash = this.view.getRunningCounts(now);
    for (const entry of this.upstreams.getEntries()) {
      entry.runningOnOtherDaemons = countsByHash.get(entry.hash) ?? 0;
    }
  }

  getRunningCounts(): Readonly<Record<string, number>> {
    const counts = this.upstreams.getEntries().map(({ record, running }) => [record.id, running]);
    return Object.fromEntries(counts) as Record<string, number>;
  }
}

function getAddress(router: number): string {
  return `127.0.0.${String(router + 1)}:1`;
}
