/** Clients that speak as PROTOCOL.md says, on channels of their own. */
import { randomBytes } from "node:crypto";
import { Agent, request as open } from "node:http";

export function createId() {
  return randomBytes(8).toString("hex");
}

/**
 * Sends one client attempt and resolves with all that came back.
 * @param options - address, path, key, deadlineMs, headers, agent, method, onStart.
 */
export async function send(options) {
  const { address, path, key, deadlineMs = 1500, headers = {}, agent = new Agent() } = options;
  const { method = "POST", id = createId(), body = "", onOpen } = options;
  const [host, port] = address.split(":");
  const sentAt = Date.now();
  const result = { id, address, path, sentAt, status: 0, headers: {}, text: "", end: "" };
  return new Promise((resolve) => {
    const finish = (end) => {
      if (result.end === "") {
        result.end = end;
        result.endedAt = Date.now();
        clearTimeout(timer);
        resolve(result);
      }
    };
    const request = open({
      host,
      port: Number(port),
      path,
      method,
      agent,
      headers: {
        Host: "meals.example",
        "Request-Id": id,
        "Deadline-Ms": String(deadlineMs),
        ...(key === undefined ? {} : { "Api-Key": key }),
        ...(method === "POST" ? { "Content-Length": String(body.length) } : {}),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      finish("client's time over");
      request.destroy();
    }, deadlineMs + 500);
    request.on("socket", () => onOpen?.(request));
    request.on("error", (error) => finish(`channel: ${error.code ?? error.message}`));
    request.on("response", (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      result.headAt = Date.now();
      response.setEncoding("latin1");
      response.on("data", (text) => {
        result.text += text;
        result.lastAt = Date.now();
      });
      response.on("end", () => finish(response.complete ? "complete" : "broken"));
      response.on("error", () => finish("broken"));
      response.on("close", () => finish("broken"));
    });
    request.end(body);
  });
}

/** Gets the ids of the events of a stream, and whether its last event is whole. */
export function readEvents(text) {
  const numbers = [...text.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)].map(([, number]) =>
    Number(number),
  );
  return { numbers, isWhole: text === "" || text.endsWith("\n\n") };
}
