// The platform's metadata store: reads, watches and revisions, as PROTOCOL.md tells them.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const pageItems = 500;

export class Store {
  items = new Map();
  changes = [];
  revision = 1;
  waiting = new Set();
  /** Called with each call; may answer it by itself and return true. */
  intercept = () => false;

  async listen(host = "127.0.0.1") {
    this.server = createServer((request, response) => this.serve(request, response));
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  put(key, value) {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.revision += 1;
    const item = {
      key,
      value: Buffer.from(text).toString("base64"),
      revision: this.revision,
      created: this.items.get(key)?.created ?? this.revision,
      lease: 0,
    };
    this.items.set(key, item);
    this.add(item);
  }

  remove(key) {
    this.revision += 1;
    this.items.delete(key);
    this.add({ key, revision: this.revision, removed: true });
  }

  add(change) {
    this.changes.push(change);
    [...this.waiting].forEach((finish) => finish());
  }

  serve(request, response) {
    const url = new URL(request.url, "http://store");
    if (this.intercept(url, response)) {
      return;
    }
    const query = url.searchParams;
    if (url.pathname === "/v1/kv-range") {
      const prefix = query.get("prefix") ?? "";
      const after = query.get("after") ?? "";
      const all = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const entries = all.slice(0, pageItems);
      const more = all.length > pageItems;
      this.answer(response, { entries, more_pages: more, current_rev: this.revision });
      return;
    }
    if (url.pathname === "/v1/kv-key") {
      const item = this.items.get(query.get("key"));
      this.answer(response, item ?? {}, item === undefined ? 404 : 200);
      return;
    }
    this.watch(Number(query.get("after")), Number(query.get("wait_ms")), response);
  }

  watch(after, wait, response) {
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(finish);
      const events = this.changes.filter(({ revision }) => revision > after);
      this.answer(response, { events, current_rev: this.revision });
    };
    const timer = setTimeout(finish, wait);
    this.waiting.add(finish);
    response.on("close", () => {
      clearTimeout(timer);
      this.waiting.delete(finish);
    });
    if (this.changes.some(({ revision }) => revision > after)) {
      finish();
    }
  }

  answer(response, body, status = 200) {
    if (!response.headersSent) {
      response.writeHead(status, { "Content-Type": "application/json", "Store-Era": "1" });
      response.end(JSON.stringify(body));
    }
  }
}
