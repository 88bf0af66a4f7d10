import { setTimeout as delay } from "node:timers/promises";
import { Fleet } from "../fleet/index.js";
import { ActLoad } from "./ActLoad.js";
import { Balancer } from "./Balancer.js";
import { CallerClient } from "./CallerClient.js";
import { CallerSession } from "./CallerSession.js";
import { ChatLoad } from "./ChatLoad.js";
import type { DemoLayout } from "./layout.js";
import { CallerRecords } from "./CallerRecords.js";
import { getControlBytes, Observer, type EngineRecord } from "./Observer.js";
import type { Observations } from "./observations.js";

const chatsPerTeam = 120;
const warmUpMilliseconds = 2_500;
const stepDurationMilliseconds = 1_200;
const refusalWaitMilliseconds = 1_000;
const outageMilliseconds = 2_000;
const byteCountMilliseconds = 1_500;
const settleMilliseconds = 500;
const refusedCallsPerHost = 8;

/** What the steps of one run observed. */
interface StepResults {
  readonly leaving: Observations["leaving"];
  readonly stop: Observations["stop"];
  readonly kill: Observations["kill"];
  readonly configuration: Omit<Observations["configuration"], "samples">;
  readonly outage: Observations["outage"];
  readonly controlBytesPerSecond: readonly number[];
}

/** Runs the demo: injects faults into a fleet of processes under load and collects observations. */
export class Demo {
  private readonly callerRecords = CallerRecords.create();
  private readonly client = CallerClient.create();
  private readonly balancer: Balancer;
  private readonly observer: Observer;
  private readonly chats: ChatLoad;
  private readonly acts: ActLoad;

  private constructor(
    private readonly layout: DemoLayout,
    private readonly fleet: Fleet,
    private readonly seed: number,
    private readonly reportStep: (step: string) => void,
  ) {
    this.balancer = Balancer.create(
      layout.fleet.daemons.map(({ name }) => {
        const { callers, operations } = fleet.getDaemonOrThrow(name);
        return { name, callers, operations };
      }),
    );
    const session = CallerSession.create(this.client, this.balancer, this.callerRecords);
    this.observer = Observer.create(fleet);
    this.chats = ChatLoad.create(session, this.callerRecords);
    this.acts = ActLoad.create(session, this.callerRecords);
  }

  /**
   * Starts the fleet, runs the demo and kills every process.
   * @param layout - Fleet and configurations of the demo.
   * @param seed - Random seed of the load.
   * @param reportStep - Called with a description of each step when it starts.
   */
  static async run(
    layout: DemoLayout,
    seed: number,
    reportStep: (step: string) => void,
  ): Promise<Observations> {
    reportStep("start the platform, engines, services and daemons");
    const fleet = await Fleet.start(layout.fleet);
    const demo = new Demo(layout, fleet, seed, reportStep);
    try {
      return await demo.observe();
    } finally {
      demo.balancer.stop();
      await demo.client.close();
      await fleet.stop();
    }
  }

  private async observe(): Promise<Observations> {
    await this.balancer.waitForAll();
    this.reportStep("start the chats and acts");
    this.startLoads();
    const stepResults = await this.runSteps();
    // Stops sampling before the loads stop: daemons balance engines only by placing new requests.
    await this.observer.stop();
    this.reportStep("wait for the requests in flight");
    await Promise.all([this.chats.stop(), this.acts.stop()]);
    return await this.collect(stepResults);
  }

  private startLoads(): void {
    this.chats.start({ team: "parents", model: "summary" }, chatsPerTeam, this.seed);
    this.chats.start({ team: "keyworkers", model: "diary" }, chatsPerTeam, this.seed + 1);
    const path = "/v1/services/diary-application/medication-notes";
    this.acts.start({ team: "medication", path }, this.seed + 2);
    this.observer.start();
  }

  private async runSteps(): Promise<StepResults> {
    await delay(warmUpMilliseconds);
    const controlBytesPerSecond = await this.measureControlBytes();
    await this.refuseCalls();
    const leavingAt = await this.leaveEngine();
    const configuration = await this.publishConfigurations();
    const stop = await this.stopDaemon();
    const kill = await this.killDaemon();
    const outage = await this.cutPlatform();
    const leaving = await this.getLeaving(leavingAt);
    return { controlBytesPerSecond, leaving, configuration, stop, kill, outage };
  }

  private async measureControlBytes(): Promise<readonly number[]> {
    this.reportStep("measure the control traffic");
    const daemons = this.layout.fleet.daemons.map(({ name }) => this.fleet.getDaemonOrThrow(name));
    const read = () => Promise.all(daemons.map(({ operations }) => getControlBytes(operations)));
    const startedAt = performance.now();
    const before = await read();
    await delay(byteCountMilliseconds);
    const after = await read();
    const seconds = (performance.now() - startedAt) / 1_000;
    return after.map((bytes, index) => (bytes - (before[index] ?? 0)) / seconds);
  }

  private async refuseCalls(): Promise<void> {
    this.reportStep("make the service hosts refuse some calls before they run");
    const { services } = this.layout.fleet;
    await Promise.all(
      services.map(({ name }) => this.fleet.setFaults(name, { refuseNext: refusedCallsPerHost })),
    );
    await delay(settleMilliseconds);
  }

  private async leaveEngine(): Promise<number> {
    const engine = this.getLeavingEngine();
    this.reportStep(`make engine ${engine} leave while the platform's list shows it as live`);
    this.observer.excludeEngine(engine);
    const at = Date.now();
    await this.fleet.setFaults(engine, { leaving: true });
    await delay(settleMilliseconds);
    return at;
  }

  private getLeavingEngine(): string {
    return this.layout.fleet.engines.at(-1)?.name ?? "";
  }

  private async getLeaving(at: number): Promise<Observations["leaving"]> {
    const { requests } = await this.observer.getEngineRecord(this.getLeavingEngine());
    const times = requests.map((request) => request.at);
    return {
      at,
      requestsBefore: times.filter((time) => time <= at).length,
      requestTimesAfter: times.filter((time) => time > at),
    };
  }

  private async publishConfigurations(): Promise<StepResults["configuration"]> {
    this.reportStep("publish a new configuration");
    const publishedAt = Date.now();
    const revision = await this.fleet.publish(this.layout.nextConfigurationText);
    await delay(stepDurationMilliseconds);
    this.reportStep("publish a configuration that must be refused");
    const refusedRevision = await this.fleet.publish(this.layout.invalidConfigurationText);
    await delay(refusalWaitMilliseconds);
    const live = this.layout.fleet.daemons.map(({ name }) => name);
    return { publishedAt, revision, refusedRevision, live };
  }

  private async stopDaemon(): Promise<Observations["stop"]> {
    const daemon = this.getDaemonName(1);
    this.reportStep(`stop ${daemon} with SIGTERM`);
    const daemonProcess = this.fleet.getDaemonOrThrow(daemon).process;
    const inFlight = this.callerRecords.getInFlight(daemon);
    daemonProcess.signal("SIGTERM");
    const exitCode = await daemonProcess.waitForExit();
    return { daemon, inFlight, exitCode };
  }

  private async killDaemon(): Promise<Observations["kill"]> {
    const daemon = this.getDaemonName(3);
    this.reportStep(`kill ${daemon} with SIGKILL`);
    const at = Date.now();
    await this.fleet.getDaemonOrThrow(daemon).process.kill();
    await delay(stepDurationMilliseconds);
    return { daemon, at };
  }

  private getDaemonName(index: number): string {
    return this.layout.fleet.daemons[index]?.name ?? "";
  }

  private async cutPlatform(): Promise<Observations["outage"]> {
    this.reportStep("take the platform down");
    await this.fleet.callStandin("platform", "POST", "down", {});
    const before = this.callerRecords.chats.whole;
    await delay(outageMilliseconds);
    const whole = this.callerRecords.chats.whole - before;
    await this.fleet.callStandin("platform", "POST", "up");
    await delay(settleMilliseconds);
    return { whole };
  }

  private async collect(stepResults: StepResults): Promise<Observations> {
    const { engines, services } = this.layout.fleet;
    const records = await Promise.all(
      engines.map(({ name }) => this.observer.getEngineRecord(name)),
    );
    const runs = await Promise.all(services.map(({ name }) => this.fleet.getRuns(name)));
    const { chats, problems, cuts, acts } = this.callerRecords;
    return {
      ...stepResults,
      configuration: { ...stepResults.configuration, samples: this.observer.configurations },
      chats,
      problems,
      cuts,
      acts,
      runs: runs.flat(),
      loads: this.observer.loads,
      bound: this.layout.configuration.load.bound,
      cacheReuse: getCacheReuse(records),
    };
  }
}

function getCacheReuse(records: readonly EngineRecord[]): number {
  const cached = records.reduce((sum, { counts }) => sum + counts.cachedTokens, 0);
  const prompt = records.reduce((sum, { counts }) => sum + counts.promptTokens, 0);
  return cached / Math.max(1, prompt);
}
