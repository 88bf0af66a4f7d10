import { request } from "node:http";

/** What a caller has seen of a stream. */
export interface SeenStream {
  readonly status: number;
  /** Ids of its events, in the order of their arrival. */
  readonly ids: readonly number[];
  /** Bytes after the last complete event. */
  readonly rest: string;
  /** Whether the response has ended as a complete one. */
  readonly isComplete: boolean;
}

/** How a caller sends the request of a stream. */
export interface StreamCall {
  readonly port: number;
  readonly host?: string;
  readonly path: string;
  readonly id: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Called with the number of complete events that have come so far. */
  readonly onEvents?: (count: number) => void;
}

const deadlineMilliseconds = 10_000;
const eventEnd = "\n\n";

/**
 * Sends the request of a stream over a connection of its own, and reads the response to its end, complete or not.
 * @param call - How the request is sent.
 */
export function readStream(call: StreamCall): Promise<SeenStream> {
  const { port, host = "127.0.0.1", path, id, headers, onEvents } = call;
  let text = "";
  return new Promise((resolve) => {
    const finish = (status: number, isComplete: boolean): void => {
      const end = text.lastIndexOf(eventEnd);
      const rest = text.slice(end < 0 ? 0 : end + eventEnd.length);
      resolve({ status, ids: getIds(text), rest, isComplete });
    };
    const outgoing = request({
      ...{ host, port, path, agent: false, method: "POST" },
      headers: {
        ...{ host: "chat.example", "request-id": id, "api-key": "k-1", "content-length": 1 },
        "deadline-ms": String(deadlineMilliseconds),
        ...headers,
      },
    });
    outgoing.on("response", (response) => {
      const status = response.statusCode ?? 0;
      response.on("data", (chunk: Buffer) => {
        text += chunk.toString("latin1");
        onEvents?.(text.split(eventEnd).length - 1);
      });
      response.on("error", () => undefined);
      response.on("close", () => {
        finish(status, response.complete);
      });
    });
    outgoing.on("error", () => {
      finish(0, false);
    });
    outgoing.end("x");
  });
}

function getIds(text: string): readonly number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}
