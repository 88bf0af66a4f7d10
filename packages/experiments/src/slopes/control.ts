import { setTimeout as delay } from "node:timers/promises";
import { Caller, Fleet, type FleetLayout } from "../fleet/index.js";
import { getCounters, type Counters } from "./counters.js";
import type { ControlFigures } from "./schema.js";

const settleMilliseconds = 3_000;
const windowMilliseconds = 10_000;
const millisecondsPerSecond = 1_000;
const team = "routes";
const tokensPerAnswer = 40;

/**
 * Measures the control traffic and the CPU time of a daemon in a fleet.
 * @param daemons - Number of daemons.
 * @param requestsPerSecond - Chat requests per second to each daemon; 0 for an idle fleet.
 */
export async function measureControlTraffic(
  daemons: number,
  requestsPerSecond: number,
): Promise<ControlFigures> {
  const fleet = await Fleet.start(createLayout(daemons));
  const load = LoadGenerator.create(fleet, requestsPerSecond);
  try {
    load.start();
    await delay(settleMilliseconds);
    const { operations } = fleet.getDaemonOrThrow("d1");
    const before = await getCounters(operations);
    await delay(windowMilliseconds);
    const after = await getCounters(operations);
    return toFigures(daemons, requestsPerSecond, before, after);
  } finally {
    await load.stop();
    await fleet.stop();
  }
}

function createLayout(daemons: number): FleetLayout {
  const zones = ["north", "south", "east"];
  const getZone = (index: number): string => zones[index % zones.length] ?? "north";
  const options = { tokenMilliseconds: 20 };
  return {
    daemons: createNames("d", daemons).map((name, index) => ({ name, zone: getZone(index) })),
    engines: createNames("e", 6).map((name, index) => ({ name, zone: getZone(index), options })),
    services: [],
    teams: [team],
  };
}

function createNames(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_unused, index) => `${prefix}${String(index + 1)}`);
}

function toFigures(
  daemons: number,
  requestsPerSecondPerDaemon: number,
  before: Counters,
  after: Counters,
): ControlFigures {
  const seconds = windowMilliseconds / millisecondsPerSecond;
  const getRate = (key: keyof Counters): number => (after[key] - before[key]) / seconds;
  return {
    daemons,
    requestsPerSecondPerDaemon,
    sentBytesPerSecond: Math.round(getRate("sentBytes")),
    receivedBytesPerSecond: Math.round(getRate("receivedBytes")),
    cpuShare: getRate("processorSeconds"),
    platformCallsPerSecond: getRate("platformCalls"),
  };
}

/** Sends chat requests at a constant rate to every daemon. */
class LoadGenerator {
  private readonly caller = Caller.create(team);
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly running = new Set<Promise<unknown>>();
  private sent = 0;

  private constructor(
    private readonly fleet: Fleet,
    private readonly requestsPerSecond: number,
  ) {}

  static create(fleet: Fleet, requestsPerSecond: number): LoadGenerator {
    return new LoadGenerator(fleet, requestsPerSecond);
  }

  start(): void {
    if (this.requestsPerSecond === 0) {
      return;
    }
    for (const { name } of this.fleet.layout.daemons) {
      const send = (): void => {
        this.send(name);
      };
      this.timers.push(setInterval(send, millisecondsPerSecond / this.requestsPerSecond));
    }
  }

  async stop(): Promise<void> {
    this.timers.forEach((timer) => {
      clearInterval(timer);
    });
    await Promise.all(this.running);
    await this.caller.close();
  }

  private send(daemon: string): void {
    this.sent += 1;
    const chat = `chat-${String(this.sent % 200)}`;
    const call = { chat, message: "what is next", tokens: tokensPerAnswer, isStream: true };
    const { callers } = this.fleet.getDaemonOrThrow(daemon);
    const sending = this.caller.sendChat(callers, call).finally(() => {
      this.running.delete(sending);
    });
    this.running.add(sending);
  }
}
