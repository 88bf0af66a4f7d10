import { FaultProxy, RegistryStore, type LinkMode } from "@pistachioway/standins";
import { createServer } from "node:net";
import { createConfiguration } from "./configuration.js";
import { Random } from "../bench/Random.js";
import {
  builtProgram,
  RouterProcess,
  type RouterPorts,
  type RouterProgram,
} from "./RouterProcess.js";
import type { Acknowledgement, RefusalRecord, RunRecord, SoakOptions } from "./schema.js";
import { SoakUpstream } from "./SoakUpstream.js";

/** Key of the configuration in the store. */
const configurationKey = "op/config";
const upstreamCount = 4;
/** Versions that the upstreams of a run have at random, side by side. */
const softwareVersions = ["v1", "v2"];
/** Zones that the upstreams of a run have in turn; the routers are in the first. */
const zones = ["north", "south"];
const keyCount = 6;
const portCount = 4;
const firstPort = 20_000;
const portRange = 12_000;

/**
 * Router processes, a registry store and upstreams.
 * Each router reaches the store, and each upstream, through a link of its own that can be broken.
 */
export class Installation {
  readonly store = RegistryStore.create();
  readonly routers: RouterProcess[] = [];
  readonly routerNames: string[] = [];
  readonly upstreams: SoakUpstream[] = [];
  readonly upstreamNames: string[] = [];
  readonly runs: RunRecord[] = [];
  readonly refusals: RefusalRecord[] = [];
  readonly acknowledgements: Acknowledgement[] = [];
  keys: readonly string[] = Array.from({ length: keyCount }, (_, index) => `k-${String(index)}`);
  private readonly faultProxy = FaultProxy.create();
  private readonly goneUpstreams = new Set<string>();
  private evacuatedZone: string | undefined;
  private version = 0;
  private sequence = 1;

  private readonly killAll = (): void => {
    this.routers.forEach((router) => {
      router.signal("SIGKILL");
    });
  };

  private constructor(private readonly random: Random) {
    process.once("exit", this.killAll);
  }

  /**
   * Starts the store, the upstreams and the routers, and resolves when every router listens.
   * @param options - Options of the soak.
   * @param random - Random source of the upstreams.
   */
  static async start(options: SoakOptions, random: Random): Promise<Installation> {
    const installation = new Installation(random);
    await installation.store.listen();
    installation.routerNames.push(...createRouterNames(options.routers));
    installation.publish();
    for (let index = 0; index < upstreamCount; index += 1) {
      await installation.addUpstream();
    }
    await installation.startRouters({ ...builtProgram, file: options.router ?? builtProgram.file });
    return installation;
  }

  /** Kills every router process and closes every listener. */
  async stop(): Promise<void> {
    process.off("exit", this.killAll);
    await Promise.all(this.routers.map((router) => router.stop("SIGKILL")));
    await Promise.all(this.upstreams.map(({ server }) => server.close()));
    await Promise.all([this.faultProxy.close(), this.store.close()]);
  }

  /** Publishes the configuration under the next version. */
  publish(): void {
    this.version += 1;
    this.store.put(configurationKey, createConfiguration(this.version, this.keys));
  }

  /** Revokes an API key. */
  revokeKey(key: string): void {
    this.keys = this.keys.filter((other) => other !== key);
    this.publish();
    this.acknowledgements.push({ kind: "key-revoked", name: key, at: performance.now() });
  }

  /** Starts an upstream and registers it as ready. */
  async addUpstream(): Promise<void> {
    const id = `u-${String(this.upstreamNames.length)}`;
    const upstream = SoakUpstream.create(
      id,
      softwareVersions[this.random.getIndex(softwareVersions.length)] ?? "v1",
      zones[this.upstreamNames.length % zones.length] ?? "north",
      this.random,
      (run) => this.runs.push(run),
      (refusal) => this.refusals.push(refusal),
    );
    this.upstreamNames.push(id);
    await upstream.server.listen();
    const target = upstream.server.address;
    await Promise.all(
      this.routerNames.map((router) =>
        this.faultProxy.addLink({ name: getPathName(router, id), target }),
      ),
    );
    this.upstreams.push(upstream);
    this.publishUpstream(upstream, "ready");
  }

  /** Registers an upstream as draining. */
  drainUpstream(upstream: SoakUpstream): void {
    this.publishUpstream(upstream, "draining");
    const at = performance.now();
    this.acknowledgements.push({ kind: "upstream-draining", name: upstream.id, at });
  }

  /**
   * Ends an upstream as the end of its process does: new connections are refused, and the open ones end. Its entry in the
   * registry stays.
   */
  async endUpstream(upstream: SoakUpstream): Promise<void> {
    this.setPathMode(this.routerNames, [upstream.id], "closed-to-new");
    this.goneUpstreams.add(upstream.id);
    await upstream.server.close();
  }

  /** Removes an upstream from the registry; it still completes the requests that it has. */
  removeUpstream(upstream: SoakUpstream): void {
    this.upstreams.splice(this.upstreams.indexOf(upstream), 1);
    this.store.removeUpstream(upstream.id);
  }

  /** Gets the zones that have upstreams while another zone has some too; none while one is evacuated. */
  getEvacuableZones(): readonly string[] {
    const present = new Set(this.upstreams.map(({ server }) => server.zone));
    return this.evacuatedZone === undefined && present.size > 1 ? [...present] : [];
  }

  /** Evacuates a zone; the acknowledgement counts from the write on. */
  evacuateZone(zone: string): void {
    this.evacuatedZone = zone;
    this.store.evacuateZone(zone);
    this.acknowledgements.push({ kind: "zone-evacuated", name: zone, at: performance.now() });
  }

  /** Ends the evacuation of a zone. */
  returnZone(zone: string): void {
    this.acknowledgements.push({ kind: "zone-returned", name: zone, at: performance.now() });
    this.evacuatedZone = undefined;
    this.store.returnZone(zone);
  }

  /** Writes the configuration and the upstreams again, after the store has lost the newest writes. */
  repeatWrites(): void {
    this.store.put(configurationKey, createConfiguration(this.version, this.keys));
    zones.forEach((zone) => {
      if (zone === this.evacuatedZone) {
        this.store.evacuateZone(zone);
      } else {
        this.store.returnZone(zone);
      }
    });
    const present = this.upstreams.filter(({ id }) => !this.goneUpstreams.has(id));
    present.forEach((upstream) => {
      this.publishUpstream(upstream, upstream.isDraining ? "draining" : "ready");
    });
  }

  /** Removes the entries of upstreams that have left, which a restored store lists again. */
  removeDeparted(): void {
    const present = new Set(this.upstreams.map(({ id }) => id));
    this.upstreamNames
      .filter((name) => !present.has(name))
      .forEach((name) => {
        this.store.removeUpstream(name);
      });
  }

  /** Sets the mode of the link from a router to the store. */
  setStoreLinkMode(router: string, mode: LinkMode): void {
    this.faultProxy.getLinkOrThrow(router).setMode(mode);
  }

  /** Sets the mode of the links from some routers to some upstreams; those to an upstream that is gone keep theirs. */
  setPathMode(routers: readonly string[], upstreams: readonly string[], mode: LinkMode): void {
    for (const router of routers) {
      for (const upstream of upstreams.filter((name) => !this.goneUpstreams.has(name))) {
        this.faultProxy.getLinkOrThrow(getPathName(router, upstream)).setMode(mode);
      }
    }
  }

  private getPathAddress(router: string, upstream: string): string {
    return this.faultProxy.getLinkOrThrow(getPathName(router, upstream)).address;
  }

  private publishUpstream({ server }: SoakUpstream, state: string): void {
    this.sequence += 1;
    this.store.publishUpstream(server, state, this.sequence);
  }

  private async startRouters(program: RouterProgram): Promise<void> {
    const ports = await pickFreePorts(Random.create(process.pid));
    for (const [index, name] of this.routerNames.entries()) {
      const target = await this.store.listenWith((upstream) => this.getPathAddress(name, upstream));
      const registry = await this.faultProxy.addLink({ name, target });
      const host = `127.0.0.${String(index + 1)}`;
      this.routers.push(RouterProcess.create(name, host, ports, registry, program));
    }
    await Promise.all(this.routers.map((router) => router.start()));
  }
}

function createRouterNames(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `r-${String(index + 1)}`);
}

function getPathName(router: string, upstream: string): string {
  return `${router}/${upstream}`;
}

/**
 * Picks free ports at random below the range of outgoing connections, which could otherwise take a
 * router's port while it is down.
 * @param random - Random source.
 */
export async function pickFreePorts(random: Random): Promise<RouterPorts> {
  const ports: number[] = [];
  while (ports.length < portCount) {
    const port = firstPort + random.getIndex(portRange);
    if (!ports.includes(port) && (await isFree(port))) {
      ports.push(port);
    }
  }
  const [callers = 0, readiness = 0, operations = 0, datagrams = 0] = ports;
  return { callers, readiness, operations, datagrams };
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, "127.0.0.1", () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
