import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { AwaitableCounter } from "../counters/index.js";
import { Connection } from "./Connection.js";
import { ruleSchema, type LinkMode, type Rule, type RuleOptions } from "./schema.js";

/** Time after which a link tries again to listen on its port. */
const relistenMilliseconds = 20;

interface HeldConnection {
  readonly connection: Connection;
  readonly rule: Rule;
  remainingResponses: number;
}

/** A TCP listener that forwards connections to one target, with faults. */
export class Link {
  readonly firingCounter = AwaitableCounter.create();
  private readonly server: Server;
  private readonly connections = new Set<Connection>();
  private readonly targetUrl: URL;
  private mode: LinkMode = "open";
  private rules: Rule[] = [];
  private remainingFirings = new Map<Rule, number>();
  private heldConnections: HeldConnection[] = [];
  private connectionAwaitingSwap: Connection | undefined;
  private acceptedCount = 0;
  private port = 0;
  private isClosed = false;

  private constructor(
    readonly name: string,
    target: string,
  ) {
    this.targetUrl = new URL(`tcp://${target}`);
    this.server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, (client) => {
      this.accept(client);
    });
    this.server.on("error", () => {
      // While the link was closed, an outgoing connection may have taken its port for a moment.
      setTimeout(() => {
        this.listenAsMode();
      }, relistenMilliseconds).unref();
    });
  }

  /**
   * Creates a link that is not listening yet.
   * @param name - Name of the link.
   * @param target - Address in the form `127.0.0.1:PORT`.
   */
  static create(name: string, target: string): Link {
    return new Link(name, target);
  }

  /** Gets the address in the form `127.0.0.1:PORT`. */
  get address(): string {
    return `127.0.0.1:${String(this.port)}`;
  }

  /** Binds a free port and returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.port = (this.server.address() as AddressInfo).port;
    return this.address;
  }

  /** Resets every connection and closes the listener. */
  async close(): Promise<void> {
    this.isClosed = true;
    for (const connection of this.connections) {
      connection.reset();
    }
    await new Promise((resolve) => this.server.close(resolve));
  }

  /**
   * Sets the mode of the link for open and new connections.
   * @param mode - Mode from now on.
   */
  setMode(mode: LinkMode): void {
    this.mode = mode;
    for (const connection of [...this.connections]) {
      connection.setMode(mode);
    }
    this.listenAsMode();
  }

  /** Listens on the link's port, or stops to, as its mode says. */
  private listenAsMode(): void {
    const isListening = this.mode !== "closed" && this.mode !== "closed-to-new";
    if (this.server.listening && !isListening) {
      this.server.close();
    } else if (!this.server.listening && isListening && !this.isClosed) {
      this.server.listen(this.port, "127.0.0.1");
    }
  }

  /**
   * Replaces the rules, also of open connections.
   * @param rules - Rules from now on.
   */
  setRules(rules: readonly RuleOptions[]): void {
    this.rules = rules.map((rule) => ruleSchema.parse(rule));
    this.remainingFirings = new Map(this.rules.map((rule) => [rule, rule.times]));
    this.connectionAwaitingSwap = undefined;
    for (const connection of this.connections) {
      connection.setRules(this.rules);
    }
  }

  /** Forwards everything that `hold` rules keep back. */
  release(): void {
    for (const { connection, rule } of this.heldConnections.splice(0)) {
      connection.setBlocked(rule.direction, false);
    }
  }

  /** Gets the counters. */
  getCounters(): { mode: LinkMode; accepted: number; open: number; fired: number } {
    const { mode, acceptedCount, connections } = this;
    return {
      mode,
      accepted: acceptedCount,
      open: connections.size,
      fired: this.firingCounter.getCount(),
    };
  }

  private accept(client: Socket): void {
    this.acceptedCount += 1;
    if (this.mode === "refuse") {
      client.resetAndDestroy();
      return;
    }
    const active = this.rules.filter((rule) => (this.remainingFirings.get(rule) ?? 0) > 0);
    const connection = Connection.create(client, this.targetUrl, active, {
      onFire: (source, rule) => this.fire(source, rule),
      onResponse: (source) => {
        this.countResponse(source);
      },
      onClose: (source) => {
        this.connections.delete(source);
      },
    });
    this.connections.add(connection);
    connection.setMode(this.mode);
    client.resume();
  }

  /** Applies a rule; returns whether it may fire again. */
  private fire(connection: Connection, rule: Rule): boolean {
    const remaining = this.remainingFirings.get(rule) ?? 0;
    if (remaining === 0) {
      return false;
    }
    this.remainingFirings.set(rule, remaining - 1);
    this.apply(connection, rule);
    this.firingCounter.add();
    return remaining > 1;
  }

  private apply(connection: Connection, rule: Rule): void {
    switch (rule.action) {
      case "reset":
        connection.reset();
        return;
      case "drop":
        connection.discard(rule.direction);
        return;
      case "cut":
        connection.discard("request");
        connection.discard("response");
        return;
      case "delay":
        connection.setBlocked(rule.direction, true);
        setTimeout(() => {
          connection.setBlocked(rule.direction, false);
        }, rule.delayMilliseconds);
        return;
      case "hold":
        connection.setBlocked(rule.direction, true);
        this.heldConnections.push({
          connection,
          rule,
          remainingResponses: rule.releaseAfterAnswers,
        });
        return;
      case "swap":
        this.swap(connection);
    }
  }

  private swap(connection: Connection): void {
    const partner = this.connectionAwaitingSwap;
    if (partner === undefined) {
      this.connectionAwaitingSwap = connection;
      connection.setBlocked("response", true);
      return;
    }
    this.connectionAwaitingSwap = undefined;
    connection.swapResponses(partner);
    partner.setBlocked("response", false);
  }

  /** Counts a response on one connection towards the release of the others' held bytes. */
  private countResponse(responding: Connection): void {
    for (const held of [...this.heldConnections]) {
      if (held.connection === responding || held.rule.releaseAfterAnswers === 0) {
        continue;
      }
      held.remainingResponses -= 1;
      if (held.remainingResponses === 0) {
        this.heldConnections = this.heldConnections.filter((other) => other !== held);
        held.connection.setBlocked(held.rule.direction, false);
      }
    }
  }
}
