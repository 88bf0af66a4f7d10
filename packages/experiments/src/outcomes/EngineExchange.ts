import type { Socket } from "node:net";
import { getBody, getEvent, getStream, streamLength } from "../soak/bodies.js";
import type { Framing } from "../soak/framings.js";
import type { EngineRequest } from "./HttpRequestReader.js";
import { formatHead, formatResponse, getRunFields, type ResponseField } from "./responses.js";

const eventMilliseconds = 20;
/** Time between the halves of a whole answer that is not written at once. */
const halfMilliseconds = 10;
const streamField: ResponseField = ["Content-Type", "text/event-stream"];

/** What an engine remembers of one channel. */
export interface EngineChannel {
  readonly socket: Socket;
  /** Id of the last request that was answered; empty before. */
  previousId: string;
}

/** Channels of one request. */
export interface ExchangeChannels {
  /** Channel that it came on. */
  readonly channel: EngineChannel;
  /** Channel on which it was refused before; undefined when it was not. */
  readonly refusingChannel: EngineChannel | undefined;
}

/** Work of an engine on a request. */
export interface EngineWork {
  /** Time until the answer, or until the first event of a stream. */
  readonly milliseconds: number;
  /** Whether the answer is a stream. */
  readonly isStream: boolean;
}

/** What an engine reports. */
export interface EngineReport {
  readonly onRun: (id: string) => void;
  readonly onFault: (id: string, variant: string) => void;
}

/** One request at an engine, and the means to answer it rightly or wrongly. */
export class EngineExchange {
  private constructor(
    readonly request: EngineRequest,
    private readonly channels: ExchangeChannels,
    readonly work: EngineWork,
    private readonly report: EngineReport,
    private readonly engine: string,
  ) {}

  /**
   * Creates an exchange.
   * @param request - The request.
   * @param channels - Its channels.
   * @param work - The engine's work on it.
   * @param report - Receives what the engine does.
   * @param engine - Name of the engine.
   */
  static create(
    request: EngineRequest,
    channels: ExchangeChannels,
    work: EngineWork,
    report: EngineReport,
    engine: string,
  ): EngineExchange {
    return new EngineExchange(request, channels, work, report, engine);
  }

  get id(): string {
    return this.request.id;
  }

  get channel(): EngineChannel {
    return this.channels.channel;
  }

  get refusingChannel(): EngineChannel | undefined {
    return this.channels.refusingChannel;
  }

  /** Records that the engine begins to work on the request. */
  run(): void {
    this.report.onRun(this.id);
  }

  /** Calls a function when the work is done, if the channel is still open. */
  afterWork(finish: () => void): void {
    setTimeout(() => {
      if (this.channel.socket.writable) {
        finish();
      }
    }, this.work.milliseconds);
  }

  /**
   * Writes bytes to a channel.
   * @param text - The bytes.
   * @param channel - The channel; by default that of the request.
   */
  write(text: string, { socket } = this.channel): void {
    if (socket.writable) {
      socket.write(text);
    }
  }

  /**
   * Runs the request and answers it as an engine should.
   * @param onAnswered - Called when the whole answer is written.
   */
  answer(onAnswered: () => void = () => undefined): void {
    this.run();
    this.afterWork(() => {
      if (this.work.isStream) {
        this.writeStream(onAnswered);
      } else {
        this.write(this.formatAnswer());
        this.finish(onAnswered);
      }
    });
  }

  /** Runs the request and answers it over time; the end of the answer is marked by a length, or by that of the channel. */
  answerFramed(framing: Exclude<Framing, "chunks">): void {
    this.run();
    this.afterWork(() => {
      const finish = () =>
        this.finish(framing === "none" ? () => this.channel.socket.end() : undefined);
      const pieces = this.work.isStream ? this.getMissedEvents() : getHalves(getBody(this.id));
      const length = Buffer.byteLength(pieces.join(""));
      const end: ResponseField =
        framing === "none" ? ["Connection", "close"] : ["Content-Length", String(length)];
      const type = this.work.isStream ? [streamField] : [];
      this.write(formatHead(200, [...getRunFields(this.id), ...type, end]));
      this.writePieces(pieces, finish);
    });
  }

  /** Formats the whole answer, as it is when its body is written at once. */
  formatAnswer(): string {
    const { id, request, work } = this;
    const fields = getRunFields(id);
    if (!work.isStream) {
      return formatResponse(200, fields, getBody(id));
    }
    const missed = getStream(id, this.engine, request.lastEventId);
    return formatResponse(200, [...fields, streamField], missed);
  }

  private getMissedEvents(): readonly string[] {
    const { lastEventId } = this.request;
    return Array.from({ length: Math.max(0, streamLength - lastEventId) }, (_, index) =>
      getEvent(this.id, lastEventId + index + 1, this.engine),
    );
  }

  /** Writes pieces one after the other, the events of a stream in its pace. */
  private writePieces([piece, ...rest]: readonly string[], onWritten: () => void): void {
    if (piece === undefined || !this.channel.socket.writable) {
      onWritten();
      return;
    }
    this.write(piece);
    const milliseconds = this.work.isStream ? eventMilliseconds : halfMilliseconds;
    setTimeout(() => {
      this.writePieces(rest, onWritten);
    }, milliseconds);
  }

  private finish(onAnswered: () => void = () => undefined): void {
    this.channel.previousId = this.id;
    onAnswered();
  }

  private writeStream(onAnswered: () => void): void {
    const fields = [...getRunFields(this.id), streamField];
    this.write(formatHead(200, [...fields, ["Transfer-Encoding", "chunked"]]));
    let event = this.request.lastEventId;
    const timer = setInterval(() => {
      event += 1;
      if (event > streamLength || !this.channel.socket.writable) {
        clearInterval(timer);
        this.write("0\r\n\r\n");
        this.finish(onAnswered);
        return;
      }
      const text = getEvent(this.id, event, this.engine);
      this.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
    }, eventMilliseconds);
  }
}

function getHalves(text: string): readonly string[] {
  return [text.slice(0, text.length / 2), text.slice(text.length / 2)];
}
