/** The platform's store, as PROTOCOL.md describes it: read calls for routers, direct writes for the operator and engines. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const maxPageItems = 500;
const maxPageBytes = 1_000_000;
/** `history_s` of the sites. */
const historyMs = 20_000;

export class Store {
  items = new Map();
  log = [];
  revision = 100;
  era = undefined;
  waiting = new Set();
  sockets = new Set();
  isAway = false;
  calls = 0;

  async start() {
    this.server = createServer((request, response) => {
      this.serve(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on("connection", (socket) => {
      if (this.isAway) {
        socket.destroy();
        return;
      }
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${String(this.server.address().port)}`;
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  /** Writes an item; the store has accepted it when this returns. */
  put(key, value) {
    this.revision += 1;
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString("base64"),
      revision: this.revision,
      created: this.items.get(key)?.created ?? this.revision,
      lease: 0,
    };
    this.items.set(key, item);
    this.addEvent(item);
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.addEvent({ key, revision: this.revision, removed: true });
    }
  }

  /** Adds a change to the history, and drops what is older than the store keeps. */
  addEvent(event) {
    const now = Date.now();
    const { key, revision } = event;
    this.log.push({ key, revision, text: JSON.stringify(event), at: now });
    while (this.log[0].at < now - historyMs) {
      this.first = this.log.shift().revision;
    }
    this.wake();
  }

  /** Takes a copy, from which a drill restores the store later. */
  copy() {
    return { items: new Map(this.items), revision: this.revision };
  }

  /** Begins a drill: the store is away, and its channels end. */
  leave() {
    this.isAway = true;
    for (const socket of this.sockets) {
      socket.destroy();
    }
    this.waiting.clear();
  }

  /** Ends a drill: the store is back from a copy, and its era has risen by one. */
  comeBack({ items, revision }) {
    this.items = new Map(items);
    this.revision = revision;
    this.log = [];
    this.first = revision;
    this.era += 1;
    this.isAway = false;
  }

  wake() {
    for (const watch of [...this.waiting]) {
      this.answerWatch(watch);
    }
  }

  serve(request, response) {
    this.calls += 1;
    const url = new URL(request.url, "http://store");
    const get = (name) => url.searchParams.get(name) ?? "";
    if (url.pathname === "/v1/kv-range") {
      this.send(response, 200, this.getPage(get("prefix"), get("after")));
    } else if (url.pathname === "/v1/kv-key") {
      const item = this.items.get(get("key"));
      this.send(response, item ? 200 : 404, { ...item, current_rev: this.revision });
    } else if (url.pathname === "/v1/kv-watch") {
      this.watch(get("prefix"), Number(get("after")), Number(get("wait_ms")), response);
    } else {
      this.send(response, 404, {});
    }
  }

  getPage(prefix, after) {
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    keys.sort();
    const entries = [];
    let bytes = 0;
    for (const key of keys) {
      const item = this.items.get(key);
      if (entries.length > 0 && (entries.length >= maxPageItems || bytes > maxPageBytes)) {
        break;
      }
      entries.push(item);
      bytes += item.value.length;
    }
    return { entries, more_pages: entries.length < keys.length, current_rev: this.revision };
  }

  watch(prefix, after, waitMs, response) {
    if (after > this.revision || after < (this.first ?? 0)) {
      this.send(response, 410, {});
      return;
    }
    const watch = { prefix, after, response, timer: undefined };
    watch.timer = setTimeout(() => this.answerWatch(watch, true), Math.min(30_000, waitMs));
    this.waiting.add(watch);
    response.on("close", () => {
      clearTimeout(watch.timer);
      this.waiting.delete(watch);
    });
    this.answerWatch(watch);
  }

  answerWatch(watch, isOver = false) {
    const events = this.log.filter(
      ({ key, revision }) => revision > watch.after && key.startsWith(watch.prefix),
    );
    if (events.length > 0 || isOver) {
      clearTimeout(watch.timer);
      this.waiting.delete(watch);
      const texts = events.map(({ text }) => text).join(",");
      this.sendText(
        watch.response,
        200,
        `{"events":[${texts}],"current_rev":${String(this.revision)}}`,
      );
    }
  }

  send(response, status, body) {
    this.sendText(response, status, JSON.stringify(body));
  }

  sendText(response, status, text) {
    const era = this.era === undefined ? {} : { "Store-Era": String(this.era) };
    response.writeHead(status, { "Content-Type": "application/json", ...era });
    response.end(text);
  }
}
