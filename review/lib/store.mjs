// Stand-in for the platform's store: range reads, watches, revisions, eras and restoration from a copy.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const pageSize = 500;

/** The platform's store; each instance listens on one loopback address. */
export class Store {
  items = new Map();
  changes = [];
  revision = 1;
  era = 1;
  isUp = true;
  waiting = new Set();

  constructor() {
    this.server = createServer((request, response) => {
      this.serve(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${String(this.server.address().port)}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes an item; the return of this call is the acknowledgement. */
  put(key, value) {
    this.revision += 1;
    const text = JSON.stringify(value);
    const change = { key, revision: this.revision, text };
    this.items.set(key, change);
    this.changes.push(change);
    this.wake();
  }

  copy() {
    const { items, changes, revision } = this;
    return { items: new Map(items), changes: [...changes], revision };
  }

  /** The store goes away: channels are reset and new calls too. */
  goAway() {
    this.isUp = false;
    this.wake();
    this.server.closeAllConnections();
  }

  /** The store is back with the content of a copy; the era rises by one. */
  comeBack(copy) {
    this.items = new Map(copy.items);
    this.changes = [...copy.changes];
    this.revision = copy.revision;
    this.era += 1;
    this.isUp = true;
  }

  wake() {
    [...this.waiting].forEach((finish) => {
      finish();
    });
  }

  serve(request, response) {
    if (!this.isUp) {
      request.socket.resetAndDestroy();
      return;
    }
    const url = new URL(request.url, "http://store");
    const get = (name) => url.searchParams.get(name) ?? "";
    if (url.pathname === "/v1/kv-range") {
      this.answer(response, 200, this.getPage(get("prefix"), get("after")));
    } else if (url.pathname === "/v1/kv-watch") {
      this.watch(response, get("prefix"), Number(get("after")), Number(get("wait_ms")));
    } else {
      this.answer(response, 404, {});
    }
  }

  getPage(prefix, after) {
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    keys.sort();
    const entries = keys.slice(0, pageSize).map((key) => toItem(this.items.get(key)));
    return { entries, more_pages: keys.length > pageSize, current_rev: this.revision };
  }

  watch(response, prefix, after, waitMilliseconds) {
    const getEvents = () =>
      this.changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(finish);
      if (!this.isUp) {
        response.socket?.resetAndDestroy();
      } else if (after > this.revision) {
        this.answer(response, 410, {});
      } else {
        const events = getEvents().map(toItem);
        this.answer(response, 200, { events, current_rev: this.revision });
      }
    };
    const timer = setTimeout(finish, waitMilliseconds);
    this.waiting.add(finish);
    if (getEvents().length > 0 || after > this.revision) {
      finish();
    }
  }

  answer(response, status, body) {
    const headers = { "content-type": "application/json", "store-era": String(this.era) };
    response.writeHead(status, headers);
    response.end(JSON.stringify(body));
  }
}

function toItem({ key, revision, text }) {
  const value = Buffer.from(text).toString("base64");
  return { key, value, revision, created: revision, lease: 0 };
}
