/** Daemons, callers, a service and a faulty network, for exploring every interleaving. */
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

/** One case; the first daemon mints the keys, and each may name the next as its successor. */
export interface ActCase {
  readonly daemons: readonly string[];
  /** The daemon that each request reaches, and the number of its key. */
  readonly submits: readonly { readonly at: string; readonly key: number }[];
  /** How often each fault may happen. */
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

/** Something on its way: a call between daemons, a send to the service, or the result of either. */
export type Parcel =
  | { readonly kind: "call"; readonly id: string }
  | {
      readonly kind: "work";
      readonly from: string;
      incarnation: number;
      readonly attemptId: string;
    }
  | { readonly kind: "result"; to: string; incarnation: number; message: ActsMessage };

/** One state of the world: plain data, so that it can be cloned and compared. */
export class ActWorld {
  daemons: Record<string, DaemonModel> = {};
  keys: string[] = [];
  parcels: Parcel[] = [];
  calls: Record<string, Call> = {};
  faultsLeft: Partial<Record<Fault, number>>;
  submitted: boolean[];
  /** What the caller of each request was told. */
  told: string[][];
  /** How often the service ran each act. */
  runs: Record<string, number> = {};

  private constructor(readonly plan: ActCase) {
    this.faultsLeft = { ...plan.faults };
    this.submitted = plan.submits.map(() => false);
    this.told = plan.submits.map(() => []);
  }

  static create(plan: ActCase): ActWorld {
    const world = new ActWorld(plan);
    plan.daemons.forEach((name) => {
      world.start(name);
    });
    new Set(plan.submits.map(({ key }) => key)).forEach(() => {
      world.send(plan.daemons[0] ?? "", { kind: "mint", requestId: "", expiresAt: 1000 });
    });
    return world;
  }

  /** Gets the world's data as octets, equal for equal states; parcels on their way have no order. */
  getImage(): Buffer {
    const { plan: _plan, parcels, ...data } = this;
    const sorted = parcels
      .map((parcel) => ({ parcel, key: JSON.stringify(parcel) }))
      .sort((a, b) => Number(a.key > b.key) - Number(a.key < b.key))
      .map(({ parcel }) => parcel);
    return serialize({ ...data, parcels: sorted });
  }

  /** Creates a world from the data of another of the same plan. */
  static restore(plan: ActCase, image: Buffer): ActWorld {
    return Object.assign(new ActWorld(plan), deserialize(image));
  }

  start(name: string): void {
    const incarnation = (this.daemons[name]?.incarnation ?? 0) + 1;
    this.daemons[name] = { incarnation, clock: 0, state: actsPlugin.createState(1) };
    const secretText = this.plan.hasFixedSecret ? name : `${name}/${String(incarnation)}`;
    this.send(name, {
      kind: "start",
      daemon: name,
      incarnation: `i${String(incarnation)}`,
      secret: new TextEncoder().encode(secretText.padEnd(16)),
      disabledGuards: this.plan.disabledGuards,
    });
  }

  /** Ends a daemon: its callers see a broken connection, and its peers lose their calls. */
  kill(name: string, daemon: DaemonModel): void {
    daemon.state = undefined;
    this.plan.submits.forEach(({ at }, index) => {
      const told = this.told[index];
      if (at === name && this.submitted[index] && told?.length === 0) {
        told.push("unknown");
      }
    });
    Object.entries(this.calls).forEach(([id, { to }]) => {
      if (to === name) {
        this.loseCall(id);
      }
    });
  }

  /** Hands a message to a daemon, if it lives, and carries out the effects. */
  send(name: string, message: ActsMessage): void {
    const daemon = this.daemons[name];
    if (daemon?.state === undefined) {
      return;
    }
    for (const effect of actsPlugin.handle(daemon.state, message, daemon.clock).effects) {
      this.perform(name, daemon.incarnation, effect);
    }
  }

  createSubmit(index: number, requestId: string, at: string, forwardedBy?: string): ActsMessage {
    const key = this.keys[this.plan.submits[index]?.key ?? 0];
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

  private perform(from: string, incarnation: number, effect: ActsEffect): void {
    switch (effect.kind) {
      case "minted":
        this.keys.push(effect.key);
        break;
      case "send":
        this.parcels.push({ kind: "work", from, incarnation, attemptId: effect.attemptId });
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
    this.parcels.push({ kind: "call", id });
  }

  private endRequest(requestId: string, result: ForwardResult): void {
    const call = this.calls[requestId];
    if (call === undefined) {
      this.told[Number(requestId)]?.push(getToldOutcome(result));
      return;
    }
    call.isEnded = true;
    const { from: to, fromIncarnation: incarnation } = call;
    this.parcels.push({
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

function getToldOutcome(result: ForwardResult): string {
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
