/**
 * An engine in a process of its own, as PROTOCOL.md describes it. Its options come as JSON in the first argument:
 * id, host, port, version, workMs, events, gapMs, isUnframed, spoilEvery. It prints one JSON line for its address and for each request.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, setInterval } from "node:timers";

const options = JSON.parse(process.argv[2] ?? "{}");
const {
  id,
  host = "127.0.0.1",
  port: wantedPort = 0,
  version = "v1",
  workMs = 40,
  events = 50,
  gapMs = 200,
} = options;
const { isUnframed = false, spoilEvery = Infinity } = options;
const born = Date.now();
let running = 0;
let answers = 0;

function print(fields) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), engine: id, ...fields })}\n`);
}

/** The text of one event; it names the engine's software, its position and nothing else. */
function createEvent(number) {
  return `id: ${String(number)}\ndata: piece ${String(number)} of ${version}\n\n`;
}

function createHeaders(request) {
  return {
    "Request-Id": request.headers["request-id"],
    "Response-Stamp": `${id}.${String(born)}.${request.headers["request-id"]}`,
    Load: `${String(running)},0,64`,
  };
}

/** Lets an answer have neither a length nor chunks, so that it ends with its channel. */
function removeFraming(response) {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}

function stream(request, response) {
  let number = Number(request.headers["last-event-id"] ?? 0);
  if (isUnframed) {
    removeFraming(response);
  }
  const headers = { ...createHeaders(request), "Content-Type": "text/event-stream" };
  response.writeHead(200, headers);
  const timer = setInterval(() => {
    number += 1;
    if (number > events) {
      finish("complete");
      response.end();
    } else {
      response.write(createEvent(number));
      print({ event: "piece", request: request.headers["request-id"], number });
    }
  }, gapMs);
  const finish = (how) => {
    clearInterval(timer);
    if (!isOver) {
      isOver = true;
      running -= 1;
      print({ event: "ended", request: request.headers["request-id"], how, number });
    }
  };
  let isOver = false;
  response.on("close", () => finish("channel closed"));
}

/** Writes an answer whose status line has one wrong byte, so that it is no answer in the protocol. */
function spoil(request, response, body) {
  const headers = Object.entries({ ...createHeaders(request), "Content-Length": body.length });
  const lines = headers.map(([name, value]) => `${name}: ${String(value)}`).join("\r\n");
  response.socket.end(`HTTP/1.1 000 OK\r\n${lines}\r\n\r\n${body.toString()}`);
  print({ event: "ended", request: request.headers["request-id"], how: "spoiled" });
}

function work(request, response) {
  setTimeout(() => {
    running -= 1;
    answers += 1;
    const body = Buffer.from(`done ${request.headers["request-id"]}\n`);
    if (answers % spoilEvery === 0) {
      spoil(request, response, body);
      return;
    }
    response.writeHead(200, { ...createHeaders(request), "Content-Length": body.length });
    response.end(body);
    print({ event: "ended", request: request.headers["request-id"], how: "answered" });
  }, workMs);
}

function serve(request, response) {
  const { headers, url } = request;
  request.resume();
  if (url === "/healthz") {
    response.writeHead(200, { Instance: id, Load: `${String(running)},0,64` });
    response.end();
    return;
  }
  request.on("end", () => {
    if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
      const refusal = { "Request-Id": headers["request-id"], Instance: id, "Not-Run": "1" };
      response.writeHead(421, { ...refusal, "Content-Length": 0 });
      response.end();
      return;
    }
    running += 1;
    print({
      event: "ran",
      request: headers["request-id"],
      path: url,
      tenant: headers.tenant,
      key: headers["api-key"],
      after: headers["last-event-id"],
      version,
    });
    if (url.startsWith("/stream/")) {
      stream(request, response);
    } else {
      work(request, response);
    }
  });
}

const server = createServer({ keepAliveTimeout: 20_000 }, serve);
server.listen(wantedPort, host, () => {
  const { port } = server.address();
  print({ event: "listening", address: `${host}:${String(port)}`, born });
});
