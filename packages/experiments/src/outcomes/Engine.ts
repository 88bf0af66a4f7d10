import { createServer, type Server, type Socket } from "node:net";
import type { AnswerFault } from "./answerFaults.js";
import {
  EngineExchange,
  type EngineChannel,
  type EngineReport,
  type EngineWork,
} from "./EngineExchange.js";
import { FaultMixture, type FaultWeights } from "./FaultMixture.js";
import { engineHost } from "./hosts.js";
import { getUniformHash } from "./getUniformHash.js";
import { HttpRequestReader, type EngineRequest } from "./HttpRequestReader.js";
import { formatRefusal, formatResponse } from "./responses.js";

/** How an engine behaves. */
export interface EngineOptions {
  /** Ids under which the registry lists it; the first is its name. */
  readonly ids: readonly [string, ...string[]];
  readonly seed: number;
  /** Faults of its answers; none when it answers well. */
  readonly weights: FaultWeights;
  /** Share of its answers that are faulty. */
  readonly share: number;
  /** Work on the requests of each route, with the mean of its times. */
  readonly workByRoute: Readonly<Record<string, EngineWork>>;
}

const misdirectedStatus = 421;
const unavailableStatus = 503;
/** Length of the queue of connections that the engine has not accepted. */
const maxQueuedConnections = 4;
const noWork: EngineWork = { milliseconds: 0, isStream: false };

/** An engine that answers requests on raw sockets, some of them wrongly. */
export class Engine {
  private readonly server: Server;
  private readonly faults: FaultMixture;
  /** Channels on which requests were refused, by the id of the request. */
  private readonly refusingChannels = new Map<string, EngineChannel>();

  private constructor(
    private readonly options: EngineOptions,
    private readonly report: EngineReport,
  ) {
    this.faults = FaultMixture.create(options.weights);
    this.server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
      this.serve(socket);
    });
  }

  /**
   * Creates an engine that is not listening yet.
   * @param options - How it behaves.
   * @param report - Receives what it does.
   */
  static create(options: EngineOptions, report: EngineReport): Engine {
    return new Engine(options, report);
  }

  /**
   * Binds the listener and returns its port.
   * @param port - Port; 0 for any.
   */
  async listen(port: number): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen({ host: engineHost, port, backlog: maxQueuedConnections }, resolve);
    });
    const address = this.server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Closes the listener; open channels stay. */
  close(): void {
    this.server.close();
  }

  private serve(socket: Socket): void {
    const channel: EngineChannel = { socket, previousId: "" };
    const reader = HttpRequestReader.create(
      (request) => {
        this.answerEarly(request, channel);
      },
      (request) => {
        this.answer(request, channel);
      },
    );
    socket.on("data", (chunk) => {
      reader.push(chunk);
    });
    socket.on("end", () => socket.end());
    // The other side may reset the channel.
    socket.on("error", () => socket.destroy());
  }

  /** Answers a request whose body still comes, if its fault is to be answered early. */
  private answerEarly(request: EngineRequest, channel: EngineChannel): void {
    const fault = this.pickFault(request);
    if (fault?.isEarly === true) {
      this.answerWith(fault, this.createExchange(request, channel));
    }
  }

  private answer(request: EngineRequest, channel: EngineChannel): void {
    const fault = this.pickFault(request);
    if (request.path === "/healthz") {
      channel.socket.write(formatResponse(200, [["Instance", this.options.ids[0]]]));
    } else if (!this.options.ids.includes(request.expectedEngine)) {
      channel.socket.write(formatRefusal(misdirectedStatus, request.id));
    } else if (fault === undefined) {
      this.createExchange(request, channel).answer();
    } else if (fault.needsRefusal === true && !this.refusingChannels.has(request.id)) {
      this.refusingChannels.set(request.id, channel);
      channel.socket.write(formatRefusal(unavailableStatus, request.id));
    } else if (fault.isEarly !== true) {
      this.answerWith(fault, this.createExchange(request, channel));
    }
  }

  private answerWith({ variant, answer }: AnswerFault, exchange: EngineExchange): void {
    const { refusingChannel, channel } = exchange;
    const isElsewhere = refusingChannel !== undefined && refusingChannel !== channel;
    this.report.onFault(exchange.id, isElsewhere ? `${variant}-elsewhere` : variant);
    answer(exchange);
  }

  private createExchange(request: EngineRequest, channel: EngineChannel): EngineExchange {
    const channels = { channel, refusingChannel: this.refusingChannels.get(request.id) };
    return EngineExchange.create(
      request,
      channels,
      this.getWork(request),
      this.report,
      this.options.ids[0],
    );
  }

  /** Gets the work on a request; its time is spread exponentially. */
  private getWork({ id, path }: EngineRequest): EngineWork {
    const { workByRoute, seed } = this.options;
    const { milliseconds: mean, isStream } = workByRoute[path.split("/")[1] ?? ""] ?? noWork;
    const number = getUniformHash(`work ${id} ${String(seed)}`);
    return { milliseconds: -mean * Math.log(1 - number), isStream };
  }

  private pickFault({ id, expectedEngine, bodyBytes }: EngineRequest): AnswerFault | undefined {
    const { ids, share, seed } = this.options;
    if (!ids.includes(expectedEngine)) {
      return undefined;
    }
    const picked = this.faults.pick(
      getUniformHash(`fault ${id} ${ids[0]} ${String(seed)}`) / share,
    );
    return picked?.isEarly === true && bodyBytes === 0 ? undefined : picked;
  }
}
