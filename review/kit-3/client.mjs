// Clients as PROTOCOL.md tells them, on channels that they keep.
import { Buffer } from "node:buffer";
import { Agent, request as send } from "node:http";

let count = 0;

export function newId(prefix = "q") {
  count += 1;
  return `${prefix}${count.toString(16).padStart(15, "0")}`;
}

/** Sends one request, and resolves to what the client has seen of its answer. */
export function call(address, options) {
  const {
    path,
    method = "POST",
    body = "",
    key = "key-1",
    deadline = 1500,
    agent,
    more = {},
  } = options;
  const id = options.id ?? newId();
  const [host, port] = address.split(":");
  const headers = { Host: "app.example", "Request-Id": id, "Deadline-Ms": String(deadline) };
  Object.assign(headers, { "Api-Key": key, ...more });
  if (method === "POST") {
    headers["Content-Length"] = String(Buffer.byteLength(body));
  }
  const sentAt = Date.now();
  return new Promise((resolve) => {
    let timer;
    const seen = { id, path, sentAt, status: 0, end: "", body: "", isKeptChannel: false };
    const finish = (end) => {
      clearTimeout(timer);
      seen.isKeptChannel = request.reusedSocket;
      resolve(Object.assign(seen, { end, milliseconds: Date.now() - sentAt }));
    };
    const request = send({ host, port, path, method, headers, agent }, (answer) => {
      Object.assign(seen, { status: answer.statusCode, headers: answer.headers });
      answer.setEncoding("latin1");
      answer.on("data", (text) => (seen.body += text));
      answer.on("end", () => finish("complete"));
      answer.on("error", () => finish("cut in the answer"));
    });
    request.on("error", (error) => finish(error.code ?? error.message));
    timer = setTimeout(() => {
      finish("deadline");
      request.destroy();
    }, deadline);
    request.end(body);
  });
}

export function keptChannels(count = 50) {
  return new Agent({ keepAlive: true, maxSockets: count });
}
