import {
  eventPageSchema,
  type DaemonStatus,
  type EventPage,
  type Host,
} from "@pistachioway/kernel";
import type { DatagramRuleOptions, LinkMode, RuleOptions, RunRecord } from "@pistachioway/standins";
import { fileURLToPath } from "node:url";
import { UnknownProcessError } from "../errors/index.js";
import { callControl, waitForCondition } from "./control.js";
import { DaemonProcess } from "./DaemonProcess.js";
import { createConfigurationText, type DaemonLayout, type FleetLayout } from "./layout.js";
import { ManagedProcess } from "./ManagedProcess.js";

type StandinKind = "platform" | "engine" | "service" | "faults";

const recordWaitMilliseconds = 20_000;

/** Child processes on ephemeral ports: the platform, upstreams, a fault proxy and daemons. */
export class Fleet {
  private readonly standinsByName = new Map<string, ManagedProcess>();
  private readonly daemonsByName = new Map<string, DaemonProcess>();
  private readonly linkAddressesByName = new Map<string, string>();
  /** Resolve when the process of an upstream is gone and its link refuses connections. */
  private readonly exitsByName = new Map<string, Promise<void>>();
  private isStopped = false;
  private readonly killAll = (): void => {
    this.signalAll("SIGKILL");
  };

  private constructor(readonly layout: FleetLayout) {
    process.once("exit", this.killAll);
  }

  /**
   * Starts every process and resolves when all daemons are ready and every upstream is eligible.
   *
   * Every connection to an upstream, between daemons and to the platform passes through a link of
   * the fault proxy: `NAME` leads to the upstream or daemon NAME, `NAME.datagrams` carries the
   * datagrams to the daemon NAME, and `NAME.platform` its connections to the platform. The link of
   * an upstream whose process is gone refuses connections, as its host would.
   * @param layout - Processes of the fleet and their options.
   */
  static async start(layout: FleetLayout): Promise<Fleet> {
    const fleet = new Fleet(layout);
    try {
      await fleet.startStandins();
      await Promise.all(layout.daemons.map((daemon) => fleet.startDaemon(daemon.name)));
      await Promise.all(layout.daemons.map((daemon) => fleet.waitUntilReady(daemon.name)));
      return fleet;
    } catch (error) {
      await fleet.stop();
      throw error;
    }
  }

  /** Kills every process. */
  async stop(): Promise<void> {
    this.isStopped = true;
    process.off("exit", this.killAll);
    await Promise.all(this.getProcesses().map((running) => running.kill()));
  }

  /**
   * Starts or restarts a daemon of the layout and adds it to the platform's list of hosts.
   * @param name - Name of the daemon.
   */
  async startDaemon(name: string): Promise<DaemonProcess> {
    const layout = this.getDaemonLayoutOrThrow(name);
    const platform = await this.addLink(`${name}.platform`, this.getAddressOrThrow("platform"));
    const seeds = [...this.daemonsByName.values()]
      .filter((daemon) => daemon.layout.name !== name && daemon.process.isRunning())
      .map((daemon) => `${daemon.layout.name}@${daemon.peers ?? ""}`);
    const daemon = await DaemonProcess.start(layout, this.layout, platform, seeds);
    this.daemonsByName.set(name, daemon);
    await this.listHost(await this.toDaemonHost(daemon));
    return daemon;
  }

  /**
   * Kills a stand-in and starts it again without its state at the same address.
   * @param kind - Kind of the stand-in.
   * @param name - Name of the stand-in.
   */
  async restartStandin(kind: StandinKind, name: string): Promise<void> {
    const port = new URL(`tcp://${this.getAddressOrThrow(name)}`).port;
    await this.standinsByName.get(name)?.kill();
    await this.exitsByName.get(name);
    const options = this.layout.engines.find((engine) => engine.name === name)?.options;
    await this.startStandin(kind, name, { ...options, port });
    if (isUpstream(kind)) {
      await this.setLinkMode(name, "open");
    }
  }

  /**
   * Gets a daemon.
   * @param name - Name of the daemon.
   * @throws UnknownProcessError when the fleet has no process of this name.
   */
  getDaemonOrThrow(name: string): DaemonProcess {
    const daemon = this.daemonsByName.get(name);
    if (daemon === undefined) {
      throw new UnknownProcessError(name);
    }
    return daemon;
  }

  /**
   * Gets the address at which a stand-in listens, without a link of the fault proxy.
   * @param name - Name of the stand-in.
   * @throws UnknownProcessError when the fleet has no process of this name.
   */
  getAddressOrThrow(name: string): string {
    const address = this.standinsByName.get(name)?.getAddress("address");
    if (address === undefined) {
      throw new UnknownProcessError(name);
    }
    return address;
  }

  /**
   * Gets the address at which a link of the fault proxy listens.
   * @param name - Name of the link.
   * @throws UnknownProcessError when the fleet has no link of this name.
   */
  getLinkAddressOrThrow(name: string): string {
    const address = this.linkAddressesByName.get(name);
    if (address === undefined) {
      throw new UnknownProcessError(name);
    }
    return address;
  }

  /** Waits until a daemon is ready and reports every upstream as eligible. */
  async waitUntilReady(name: string): Promise<void> {
    await waitForCondition(`daemon "${name}" is ready`, async () => {
      const status = await this.getStatus(name);
      const services = status.services.flatMap(({ hosts }) => hosts);
      const upstreams = [...status.engines, ...services];
      return status.state === "ready" && upstreams.every(({ state }) => state === "eligible");
    });
  }

  /**
   * Gets the status that a daemon reports.
   * @param name - Name of the daemon.
   */
  async getStatus(name: string): Promise<DaemonStatus> {
    const { operations } = this.getDaemonOrThrow(name);
    return (await callControl("GET", `${operations}/v1/status`)) as DaemonStatus;
  }

  /**
   * Gets the events that a daemon recorded from a sequence number on.
   * @param name - Name of the daemon.
   * @param after - Sequence number to read from; 0 for every event that the daemon keeps.
   */
  async getEvents(name: string, after: number): Promise<EventPage> {
    const { operations } = this.getDaemonOrThrow(name);
    const page = await callControl("GET", `${operations}/v1/events?after=${String(after)}`);
    return eventPageSchema.parse(page);
  }

  /**
   * Publishes a configuration and returns its revision.
   * @param text - Text of the TOML file.
   */
  async publish(text: string): Promise<number> {
    const published = await this.callStandin("platform", "PUT", "configuration", text);
    return (published as { revision: number }).revision;
  }

  /**
   * Adds a host to the platform's list, or replaces its entry.
   * @param host - Entry of the platform's list.
   */
  async listHost(host: Host): Promise<void> {
    await this.callStandin("platform", "PUT", `hosts/${host.name}`, host);
  }

  /**
   * Sets faults of an engine or service.
   * @param name - Name of the stand-in.
   * @param faults - Body of the stand-in's control call for faults.
   */
  async setFaults(name: string, faults: object): Promise<void> {
    await this.callStandin(name, "PUT", "faults", faults);
  }

  /**
   * Calls the control listener of a stand-in.
   * @param name - Name of the stand-in.
   * @param method - HTTP method.
   * @param path - Path below `/_control/`.
   * @param body - JSON body or text.
   */
  callStandin(
    name: string,
    method: "GET" | "POST" | "PUT",
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    return callControl(method, `${this.getAddressOrThrow(name)}/_control/${path}`, body);
  }

  /**
   * Gets the runs of a service host when it has a number of them or the wait has timed out.
   * @param name - Name of the host.
   * @param atLeast - Number of runs to wait for.
   */
  async getRuns(name: string, atLeast = 0): Promise<readonly RunRecord[]> {
    const path = `records?atLeast=${String(atLeast)}&wait=${String(recordWaitMilliseconds)}`;
    return ((await this.callStandin(name, "GET", path)) as { records: RunRecord[] }).records;
  }

  /**
   * Sets the mode of a link.
   * @param name - Name of the link.
   * @param mode - Mode that applies from now on.
   */
  async setLinkMode(name: string, mode: LinkMode): Promise<void> {
    await this.callStandin("faults", "PUT", `links/${name}/mode`, { mode });
  }

  /**
   * Sets the rules of a link.
   * @param name - Name of the link.
   * @param rules - Rules that replace those of the link.
   */
  async setLinkRules(name: string, rules: (RuleOptions | DatagramRuleOptions)[]): Promise<void> {
    await this.callStandin("faults", "PUT", `links/${name}/rules`, rules);
  }

  /**
   * Waits until the rules of a link have fired a number of times and returns how often they fired.
   * @param name - Name of the link.
   * @param atLeast - Number to wait for.
   */
  async waitUntilFired(name: string, atLeast: number): Promise<number> {
    const path = `links/${name}?atLeast=${String(atLeast)}&wait=${String(recordWaitMilliseconds)}`;
    return ((await this.callStandin("faults", "GET", path)) as { fired: number }).fired;
  }

  /**
   * Forwards the bytes or datagrams that the rules of a link hold.
   * @param name - Name of the link.
   */
  async releaseLink(name: string): Promise<void> {
    await this.callStandin("faults", "POST", `links/${name}/release`);
  }

  private async startStandins(): Promise<void> {
    const { engines, services } = this.layout;
    await Promise.all([
      this.startStandin("platform", "platform", {}),
      this.startStandin("faults", "faults", {}),
      ...engines.map(({ name, options }) => this.startStandin("engine", name, options ?? {})),
      ...services.map(({ name }) => this.startStandin("service", name, {})),
    ]);
    await this.publish(this.layout.configuration ?? createConfigurationText(this.layout));
    const upstreams = [
      ...engines.map(({ name, zone }) => ({ name, zone, role: "engine" as const })),
      ...services.map(({ name, zone }) => ({ name, zone, role: "service" as const })),
    ];
    for (const upstream of upstreams) {
      const address = await this.addLink(upstream.name, this.getAddressOrThrow(upstream.name));
      await this.listHost({ ...upstream, state: "live", address });
    }
  }

  private async startStandin(kind: StandinKind, name: string, options: object): Promise<void> {
    const main = new URL(`${kind}/main.js`, import.meta.resolve("@pistachioway/standins"));
    const args = Object.entries({ name, ...options }).flatMap(([key, value]) => [
      `--${key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`,
      String(value),
    ]);
    const started = await ManagedProcess.start(name, fileURLToPath(main), args, readReadyLine);
    this.standinsByName.set(name, started);
    if (isUpstream(kind)) {
      this.exitsByName.set(name, this.refuseAfterExit(name, started));
    }
  }

  /** Lets a link refuse connections when the process behind it is gone. */
  private async refuseAfterExit(name: string, upstream: ManagedProcess): Promise<void> {
    await upstream.waitForExit();
    if (!this.isStopped) {
      // The fault proxy may be killed meanwhile.
      await this.setLinkMode(name, "closed-to-new").catch(() => undefined);
    }
  }

  private async addLink(name: string, target: string, kind = "tcp"): Promise<string> {
    const link = await this.callStandin("faults", "POST", "links", { name, target, kind });
    const { address } = link as { address: string };
    this.linkAddressesByName.set(name, address);
    return address;
  }

  private async toDaemonHost(daemon: DaemonProcess): Promise<Host> {
    const { callers, operations, peers, datagrams } = daemon;
    const { name, zone } = daemon.layout;
    const host: Host = { name, zone, role: "entry", state: "live", address: callers };
    host.operationsAddress = operations;
    if (peers !== undefined) {
      host.peerAddress = await this.addLink(name, peers);
    }
    if (datagrams !== undefined) {
      host.datagramAddress = await this.addLink(`${name}.datagrams`, datagrams, "udp");
    }
    return host;
  }

  private getDaemonLayoutOrThrow(name: string): DaemonLayout {
    const layout = this.layout.daemons.find((daemon) => daemon.name === name);
    if (layout === undefined) {
      throw new UnknownProcessError(name);
    }
    return layout;
  }

  private getProcesses(): ManagedProcess[] {
    const daemons = [...this.daemonsByName.values()].map((daemon) => daemon.process);
    return [...daemons, ...this.standinsByName.values()].filter((child) => child.isRunning());
  }

  private signalAll(signal: NodeJS.Signals): void {
    for (const running of this.getProcesses()) {
      running.signal(signal);
    }
  }
}

function isUpstream(kind: StandinKind): boolean {
  return kind === "engine" || kind === "service";
}

function readReadyLine(line: string): Record<string, string> | undefined {
  try {
    return (JSON.parse(line) as { ready?: Record<string, string> }).ready;
  } catch {
    return undefined;
  }
}
