// Stand-in for one engine, in a process of its own: `node engine.mjs ID HOST VERSION`. The parent tells it its faults.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, setInterval } from "node:timers";

const [id, host, version] = process.argv.slice(2);
const eventGapMilliseconds = 60;
/** How the next answers are spoilt; undefined for sound ones. */
let fault;
let runCount = 0;

const server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
  const chunks = [];
  request.on("data", (chunk) => chunks.push(chunk));
  request.on("end", () => {
    serve(request, response, Buffer.concat(chunks).toString());
  });
});
server.on("clientError", (_error, socket) => socket.destroy());

function serve(request, response, body) {
  const { headers, method, url } = request;
  const requestId = headers["request-id"] ?? "";
  if (url === "/healthz") {
    response.writeHead(200, { instance: id });
    response.end();
    return;
  }
  if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
    response.writeHead(421, { "request-id": requestId, "not-run": "1" });
    response.end();
    return;
  }
  runCount += 1;
  const isSpoilt = fault !== undefined && fault.count > 0 && url.startsWith(fault.path);
  const run = { kind: "run", engine: id, requestId, method, url, body, at: Date.now(), isSpoilt };
  process.send({ ...run, key: headers["api-key"], tenant: headers.tenant });
  const headersOut = {
    "request-id": requestId,
    "response-stamp": `${id}.${String(runCount)}`,
    load: "1,0,64",
  };
  if (isSpoilt) {
    fault.count -= 1;
  }
  if (isSpoilt && fault.kind === "endless") {
    sendEndless(response, headersOut, fault);
  } else if (url.startsWith("/talk/")) {
    const breakAfter = isSpoilt ? fault.events : Infinity;
    sendStream(response, headersOut, Number(headers["last-event-id"] ?? 0), url, breakAfter);
  } else {
    const workMilliseconds = Number(new URL(url, "http://e").searchParams.get("work") ?? 40);
    setTimeout(() => {
      const text = `${requestId} ${"x".repeat(800)}`;
      response.writeHead(200, { ...headersOut, "content-length": text.length });
      response.end(text);
    }, workMilliseconds);
  }
}

/** Sends the events of a run after one that the client has; with a length if the request asks for one. */
function sendStream(response, headers, after, url, breakAfter) {
  const { searchParams } = new URL(url, "http://e");
  const last = Number(searchParams.get("events") ?? 40);
  // What an engine writes differs from what another one would.
  const text = "y".repeat(50 + (searchParams.has("length") ? Number(id.at(-1)) : 0));
  const events = Array.from(
    { length: Math.max(0, last - after) },
    (_, index) => `id: ${String(after + 1 + index)}\ndata: ${version} ${text}\n\n`,
  );
  const bytes = events.reduce((sum, event) => sum + event.length, 0);
  const framing = searchParams.has("length") ? { "content-length": bytes } : {};
  if (searchParams.has("unframed")) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, { ...headers, ...framing, "content-type": "text/event-stream" });
  let sent = 0;
  const timer = setInterval(() => {
    const event = events[sent];
    if (event === undefined) {
      clearInterval(timer);
      response.end();
    } else if (sent >= breakAfter) {
      response.write(event.slice(0, 20));
      setTimeout(() => response.socket?.resetAndDestroy(), 5);
      clearInterval(timer);
    } else {
      response.write(event);
      sent += 1;
    }
  }, eventGapMilliseconds);
  response.on("close", () => {
    clearInterval(timer);
  });
}

/** Sends the head of an answer, then bytes that are no answer, in pieces, until the caller closes. */
function sendEndless(response, headers, { type, pieceBytes, bytesPerSecond, status = 200 }) {
  const { socket } = response;
  const headLines = Object.entries({
    ...headers,
    "content-type": type,
    "transfer-encoding": "chunked",
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`HTTP/1.1 ${String(status)} OK\r\n${headLines.join("")}\r\n`);
  const piece = Buffer.from(`${pieceBytes.toString(16)}\r\n${"z".repeat(pieceBytes)}\r\n`);
  const startedAt = Date.now();
  let sent = 0;
  let isFull = false;
  const timer = setInterval(() => {
    const due = ((Date.now() - startedAt) / 1_000) * bytesPerSecond - sent;
    const pieces = Math.min(Math.floor(due / piece.length), Math.ceil(262_144 / piece.length));
    if (isFull || pieces <= 0) {
      return;
    }
    sent += pieces * piece.length;
    isFull = !socket.write(Buffer.concat(Array(pieces).fill(piece)));
  }, 5);
  socket.on("drain", () => {
    isFull = false;
  });
  socket.on("error", () => undefined);
  socket.once("close", () => {
    clearInterval(timer);
    process.send({ kind: "closed", engine: id, sent, milliseconds: Date.now() - startedAt });
  });
}

process.on("message", (message) => {
  fault = message.fault;
});
process.on("disconnect", () => process.exit(0));
server.listen(0, host, () => {
  process.send({ kind: "listening", address: `${host}:${String(server.address().port)}` });
});
