/** Simulates daemons, callers, a service and a faulty network, to explore every interleaving. */
import { deserialize, serialize } from "node:v8";
import {
  actsPlugin,
  getActOutcome,
  getAdoptedHoldings,
  type ActGuard,
  type ActPeer,
  type ActsEffect,
  type ActsMessage,
  type ActsState,
  type ForwardResult,
} from "@pistachioway/kernel";

export type Fault =
  "lose" | "duplicate" | "refuse" | "kill" | "handOver" | "clockForward" | "clockBack";

/** A scenario. The first daemon issues the keys; the successor of each daemon is the next one. */
export interface ActScenario {
  readonly daemons: readonly string[];
  /** The daemon that receives each request, and the number of its key. */
  readonly submits: readonly { readonly at: string; readonly key: number }[];
  /** How often each fault may be injected. */
  readonly faults: Partial<Record<Fault, number>>;
  readonly disabledGuards?: readonly ActGuard[];
  /** Uses one secret for all incarnations of a daemon. */
  readonly hasFixedSecret?: boolean;
}

interface DaemonModel {
  incarnation: number;
  clock: number;
  state?: ActsState;
}

interface Call {
  readonly from: string;
  readonly fromIncarnation: number;
  readonly to: string;
  readonly requestId: string;
  readonly message: ActsMessage;
  isEnded: boolean;
}

/** A call between daemons or a request to the service that is in flight, or the result of one. */
export type InFlightItem =
  | { readonly kind: "call"; readonly id: string }
  | {
      readonly kind: "send";
      readonly from: string;
      incarnation: number;
      readonly attemptId: string;
    }
  | { readonly kind: "result"; to: string; incarnation: number; message: ActsMessage };

/** One state of the simulation: plain data, so that it can be cloned and compared. */
export class ActSimulation {
  daemons: Record<string, DaemonModel> = {};
  keys: string[] = [];
  inFlight: InFlightItem[] = [];
  calls: Record<string, Call> = {};
  remainingFaults: Partial<Record<Fault, number>>;
  submitted: boolean[];
  /** The outcomes that the caller of each request received. */
  outcomes: string[][];
  /** How often the service ran each act. */
  runCounts: Record<string, number> = {};

  private constructor(readonly scenario: ActScenario) {
    this.remainingFaults = { ...scenario.faults };
    this.submitted = scenario.submits.map(() => false);
    this.outcomes = scenario.submits.map(() => []);
  }

  static create(scenario: ActScenario): ActSimulation {
    const simulation = new ActSimulation(scenario);
    scenario.daemons.forEach((name) => {
      simulation.start(name);
    });
    new Set(scenario.submits.map(({ key }) => key)).forEach(() => {
      simulation.send(scenario.daemons[0] ?? "", { kind: "mint", requestId: "", expiresAt: 1000 });
    });
    return simulation;
  }

  /** Serializes the state for comparison. Items in flight are sorted: their order is irrelevant. */
  getSnapshot(): Buffer {
    const { scenario: _scenario, inFlight, ...data } = this;
    const sorted = inFlight
      .map((item) => ({ item, key: JSON.stringify(item) }))
      .sort((a, b) => Number(a.key > b.key) - Number(a.key < b.key))
      .map(({ item }) => item);
    return serialize({ ...data, inFlight: sorted });
  }

  /** Creates a simulation from a snapshot of another one of the same scenario. */
  static restore(scenario: ActScenario, snapshot: Buffer): ActSimulation {
    return Object.assign(new ActSimulation(scenario), deserialize(snapshot));
  }

  start(name: string): void {
    const incarnation = (this.daemons[name]?.incarnation ?? 0) + 1;
    this.daemons[name] = { incarnation, clock: 0, state: actsPlugin.createState(1) };
    const secretText = this.scenario.hasFixedSecret ? name : `${name}/${String(incarnation)}`;
    this.send(name, {
      kind: "start",
      daemon: name,
      incarnation: `i${String(incarnation)}`,
      secret: new TextEncoder().encode(secretText.padEnd(16)),
      disabledGuards: this.scenario.disabledGuards,
    });
  }

  /** Kills a daemon: the connections of its callers break, and the calls of its peers are lost. */
  kill(name: string, daemon: DaemonModel): void {
    daemon.state = undefined;
    this.scenario.submits.forEach(({ at }, index) => {
      const outcomes = this.outcomes[index];
      if (at === name && this.submitted[index] && outcomes?.length === 0) {
        outcomes.push("unknown");
      }
    });
    Object.entries(this.calls).forEach(([id, { to }]) => {
      if (to === name) {
        this.loseCall(id);
      }
    });
  }

  /** Sends a message to a daemon, if it is running, and performs the effects. */
  send(name: string, message: ActsMessage): void {
    const daemon = this.daemons[name];
    if (daemon?.state === undefined) {
      return;
    }
    for (const effect of actsPlugin.handle(daemon.state, message, daemon.clock).effects) {
      this.applyEffect(name, daemon.incarnation, effect);
    }
  }

  createSubmit(index: number, requestId: string, at: string, forwardedBy?: string): ActsMessage {
    const key = this.keys[this.scenario.submits[index]?.key ?? 0];
    const peers = this.getPeers(at);
    const fixed = { expiresAt: 1000, fingerprint: "f", service: "meals", deadline: 100_000 };
    return { kind: "submit", requestId, key, forwardedBy, peers, ...fixed };
  }

  loseCall(id: string): void {
    if (this.calls[id]?.isEnded === false) {
      this.endRequest(id, { kind: "lost" });
    }
  }

  private getPeers(at: string): ActPeer[] {
    return Object.entries(this.daemons)
      .filter(([name]) => name !== at)
      .map(([name, { state }]) => ({ name, holdings: state ? getAdoptedHoldings(state) : [] }));
  }

  private applyEffect(from: string, incarnation: number, effect: ActsEffect): void {
    switch (effect.kind) {
      case "minted":
        this.keys.push(effect.key);
        break;
      case "send":
        this.inFlight.push({ kind: "send", from, incarnation, attemptId: effect.attemptId });
        break;
      case "forward":
        this.addCall(from, effect.to, effect.requestId, (id) =>
          this.createSubmit(Number(effect.requestId), id, effect.to, from),
        );
        break;
      case "transfer":
        this.addCall(from, effect.successor.name, "", (requestId) => ({
          ...effect,
          kind: "adopt",
          requestId,
        }));
        break;
      case "answer":
        this.endRequest(effect.requestId, { kind: "answered", record: effect.record });
        break;
      case "adopted":
        this.endRequest(effect.requestId, { kind: "answered", record: { state: "unknown" } });
        break;
      case "reject": {
        const { name, message, code, outcome } = effect.error;
        const error = { name, message, code, outcome };
        this.endRequest(effect.requestId, { kind: "rejected", error });
        break;
      }
      case "moved":
        this.endRequest(effect.requestId, { kind: "moved", to: effect.to });
        break;
      case "wait":
        break;
    }
  }

  private addCall(
    from: string,
    to: string,
    requestId: string,
    createMessage: (id: string) => ActsMessage,
  ): void {
    const id = `c${String(Object.keys(this.calls).length)}`;
    const fromIncarnation = this.daemons[from]?.incarnation ?? 0;
    const message = createMessage(id);
    this.calls[id] = {
      from,
      fromIncarnation,
      to,
      requestId,
      message,
      isEnded: false,
    };
    this.inFlight.push({ kind: "call", id });
  }

  private endRequest(requestId: string, result: ForwardResult): void {
    const call = this.calls[requestId];
    if (call === undefined) {
      this.outcomes[Number(requestId)]?.push(getReportedOutcome(result));
      return;
    }
    call.isEnded = true;
    const { from: to, fromIncarnation: incarnation } = call;
    this.inFlight.push({
      kind: "result",
      to,
      incarnation,
      message: this.createResult(call, result),
    });
  }

  private createResult(call: Call, result: ForwardResult): ActsMessage {
    const { message, requestId, from } = call;
    if (message.kind !== "adopt") {
      return { kind: "forwarded", requestId, result, peers: this.getPeers(from) };
    }
    const { issuer, incarnation } = message.table;
    return { kind: "transferred", issuer, incarnation, accepted: result.kind === "answered" };
  }
}

function getReportedOutcome(result: ForwardResult): string {
  switch (result.kind) {
    case "answered":
      return getActOutcome(result.record);
    case "rejected":
      return result.error.outcome;
    case "moved":
    case "lost":
      return "unknown";
  }
}
