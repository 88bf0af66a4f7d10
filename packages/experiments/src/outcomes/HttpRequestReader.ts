/** Head of a request. */
export interface EngineRequest {
  readonly id: string;
  readonly path: string;
  /** Id of the engine that the request is meant for. */
  readonly expectedEngine: string;
  /** Number of the last event that the caller has of the stream; 0 when it has none. */
  readonly lastEventId: number;
  /** Time for which the sender still waits. */
  readonly remainingMilliseconds: number;
  readonly bodyBytes: number;
}

const headEnd = "\r\n\r\n";

/** Reads requests with a content length from the bytes of one connection. */
export class HttpRequestReader {
  private unread = Buffer.alloc(0);
  private request: EngineRequest | undefined;

  private constructor(
    private readonly onHead: (request: EngineRequest) => void,
    private readonly onEnd: (request: EngineRequest) => void,
  ) {}

  /**
   * Creates a reader.
   * @param onHead - Receives a request whose head is complete.
   * @param onEnd - Receives a request that is complete.
   */
  static create(
    onHead: (request: EngineRequest) => void,
    onEnd: (request: EngineRequest) => void,
  ): HttpRequestReader {
    return new HttpRequestReader(onHead, onEnd);
  }

  /** Reads the next bytes of the connection. */
  push(chunk: Buffer): void {
    this.unread = Buffer.concat([this.unread, chunk]);
    while (this.readHead() && this.readBody()) {
      // The next request follows.
    }
  }

  /** Checks whether a head is known whose body is to be read. */
  private readHead(): boolean {
    const end = this.unread.indexOf(headEnd);
    if (this.request === undefined && end >= 0) {
      this.request = parseHead(this.unread.subarray(0, end).toString("latin1"));
      this.unread = this.unread.subarray(end + headEnd.length);
      this.onHead(this.request);
    }
    return this.request !== undefined;
  }

  private readBody(): boolean {
    const { request } = this;
    if (request === undefined || this.unread.length < request.bodyBytes) {
      return false;
    }
    this.unread = this.unread.subarray(request.bodyBytes);
    this.request = undefined;
    this.onEnd(request);
    return true;
  }
}

function parseHead(text: string): EngineRequest {
  const [requestLine = "", ...lines] = text.split("\r\n");
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const;
    }),
  );
  return {
    id: headers.get("request-id") ?? "",
    path: requestLine.split(" ")[1] ?? "",
    expectedEngine: headers.get("expect-instance") ?? "",
    lastEventId: Number(headers.get("last-event-id") ?? 0),
    remainingMilliseconds: Number(headers.get("deadline-ms") ?? 0),
    bodyBytes: Number(headers.get("content-length") ?? 0),
  };
}
