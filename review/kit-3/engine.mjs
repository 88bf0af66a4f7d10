// A sound engine: it runs as many requests at once as it has slots, lets some wait, and turns the rest away.
import { createServer } from "node:http";

const stamp = "3e1b.07.5a2.600.0.c9f2a4d1";

export class Engine {
  runs = [];
  arrivals = [];
  running = new Set();
  waiting = [];
  isUp = false;

  /** `work` gets the milliseconds that a request takes; `more` the further headers of every answer. */
  constructor(id, { slots = 6, queue = 24, work = () => 43, more = () => ({}) } = {}) {
    Object.assign(this, { id, slots, queue, work, more });
  }

  async listen(host = "127.0.0.1", port = 0) {
    this.server = createServer({ keepAliveTimeout: 5_000 }, (request, response) => {
      this.serve(request, response);
    });
    await new Promise((resolve) => this.server.listen(port, host, resolve));
    this.host = host;
    this.port = this.server.address().port;
    this.address = `${host}:${this.port}`;
    this.isUp = true;
  }

  /** Ends as a crash does: every channel is reset. */
  crash() {
    this.isUp = false;
    const lost = [...this.running];
    lost.forEach((run) => {
      clearTimeout(run.timer);
      run.record.end = "crashed";
    });
    this.running.clear();
    this.waiting = [];
    this.sockets?.forEach((socket) => socket.resetAndDestroy());
    this.server.close();
    this.server.closeAllConnections();
    return lost.length;
  }

  headers(request) {
    return { "Request-Id": request.headers["request-id"] ?? "", ...this.more() };
  }

  refuse(request, response, status = 503, more = {}) {
    response.writeHead(status, { ...this.headers(request), "Not-Run": "1", ...more });
    response.end();
  }

  serve(request, response) {
    this.sockets ??= new Set();
    const { socket } = request;
    if (!this.sockets.has(socket)) {
      this.sockets.add(socket);
      socket.once("close", () => this.sockets.delete(socket));
    }
    if (request.url === "/healthz" && this.waitsForHealth !== true) {
      request.resume();
      response.writeHead(200, { Instance: this.id, ...this.more() });
      response.end();
      return;
    }
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      request.resume();
      this.refuse(request, response, 421, { Instance: this.id });
      return;
    }
    const { method, url, headers } = request;
    if (url === "/healthz") {
      request.resume();
      this.accept(request, response, 0);
      return;
    }
    this.arrivals.push({ at: Date.now(), request: headers["request-id"], method, url });
    let bytes = 0;
    request.on("data", (chunk) => (bytes += chunk.length));
    request.on("end", () => this.accept(request, response, bytes));
  }

  accept(request, response, bytes) {
    if (!this.isUp) {
      return;
    }
    if (this.running.size >= this.slots && this.waiting.length >= this.queue) {
      this.onFull?.(request);
      if (this.isUp) {
        this.refuse(request, response);
      }
      return;
    }
    const item = { request, response, bytes };
    response.once("close", () => {
      this.waiting = this.waiting.filter((other) => other !== item);
    });
    this.waiting.push(item);
    this.advance();
  }

  advance() {
    while (this.isUp && this.running.size < this.slots && this.waiting.length > 0) {
      this.run(this.waiting.shift());
    }
  }

  run({ request, response, bytes }) {
    if (request.url === "/healthz") {
      this.answerHealth(response);
      return;
    }
    const { method, url, headers } = request;
    const record = { engine: this.id, at: Date.now(), request: headers["request-id"], method, url };
    Object.assign(record, { bytes, tenant: headers.tenant, end: "running" });
    this.runs.push(record);
    const run = { record };
    this.running.add(run);
    const finish = (end) => {
      if (this.running.delete(run)) {
        clearTimeout(run.timer);
        record.end = end;
        this.advance();
      }
    };
    response.once("close", () => finish("left"));
    if (this.events !== undefined) {
      this.stream(request, response, run, finish);
      return;
    }
    run.timer = setTimeout(() => {
      finish("done");
      const name = this.getStampName?.(record) ?? "Response-Stamp";
      response.writeHead(200, { ...this.headers(request), [name]: stamp });
      response.end(`answer to ${record.request}`.padEnd(800, "."));
    }, this.work(request));
  }

  /** Answers for its health when a slot is free, as for any other request. */
  answerHealth(response) {
    const run = { record: {} };
    this.running.add(run);
    setTimeout(() => {
      this.running.delete(run);
      response.writeHead(200, { Instance: this.id, ...this.more() });
      response.end();
      this.advance();
    }, 1);
  }

  /** Writes events, `events` of them, each after `eventMilliseconds`; some answers end with their channel. */
  stream(request, response, run, finish) {
    const { record } = run;
    record.isUnframed = this.isUnframed?.() === true;
    const headers = { ...this.headers(request), "Response-Stamp": stamp };
    headers["Content-Type"] = "text/event-stream";
    if (record.isUnframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      headers.Connection = "close";
    }
    response.writeHead(200, headers);
    let count = 0;
    const write = () => {
      count += 1;
      response.write(`id: ${String(count)}\ndata: token ${String(count)}\n\n`);
      if (count < this.events) {
        run.timer = setTimeout(write, this.eventMilliseconds);
        return;
      }
      response.end();
      finish("done");
    };
    run.timer = setTimeout(write, this.eventMilliseconds);
  }

  close() {
    this.isUp = false;
    this.server.close();
    this.server.closeAllConnections();
  }
}
