import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import {
  createPublishedConfiguration,
  publishedService,
  type PublishedConfigurationOptions,
} from "./configuration.js";
import type { ScriptedUpstream } from "./ScriptedUpstream.js";

/** How the store responds to calls: normally, with 503, not at all, or with a reset. */
export type StoreMode = "up" | "busy" | "silent" | "reset";

/** A write or removal of an item. */
export interface Change {
  readonly key: string;
  readonly revision: number;
  /** Value as text; undefined when the item was removed. */
  readonly text: string | undefined;
}

/** Copy of the content at one moment, from which the store can be restored. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Change>;
  readonly changes: readonly Change[];
  readonly revision: number;
}

/** Gets the address under which one reader of the store finds an upstream; its own address if undefined. */
export type AddressTranslation = (upstreamId: string) => string | undefined;

interface PendingWatch {
  readonly finish: () => void;
}

const itemsPerPage = 50;
const evacuationPrefix = "op/evacuate/";

/**
 * Stand-in for the platform's key-value store: range reads, watches, revisions, lost history, and
 * restoration from an older copy. Each response states the era, which rises with every restoration.
 */
export class RegistryStore {
  private readonly items = new Map<string, Change>();
  private era = 1;
  private changes: Change[] = [];
  private revision = 1;
  private oldestRevision = 1;
  private mode: StoreMode = "up";
  private readonly pendingWatches = new Set<PendingWatch>();
  private readonly server: Server;
  private readonly views: Server[] = [];
  private callCount = 0;

  private constructor() {
    this.server = createServer((request, response) => {
      this.serve(request, response, keepAddresses);
    });
  }

  /** Creates a store that is not listening yet. */
  static create(): RegistryStore {
    return new RegistryStore();
  }

  /** Gets the address in the form `127.0.0.1:PORT`. */
  get address(): string {
    return getAddress(this.server);
  }

  /** Gets the number of calls received so far. */
  getCallCount(): number {
    return this.callCount;
  }

  /** Binds the listener and returns its address. */
  async listen(): Promise<string> {
    return listen(this.server);
  }

  /**
   * Binds a further listener, whose reader finds the upstreams at other addresses: those of links of its own.
   * @param translate - Gets the addresses.
   * @returns The address of the listener.
   */
  async listenWith(translate: AddressTranslation): Promise<string> {
    const server = createServer((request, response) => {
      this.serve(request, response, translate);
    });
    this.views.push(server);
    return listen(server);
  }

  /** Closes every listener and connection. */
  async close(): Promise<void> {
    await Promise.all(
      this.getServers().map(async (server) => {
        server.closeAllConnections();
        await new Promise((resolve) => server.close(resolve));
      }),
    );
  }

  /** Writes an item. */
  put(key: string, value: unknown): void {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.addChange({ key, revision: (this.revision += 1), text });
  }

  /** Removes an item. */
  remove(key: string): void {
    this.addChange({ key, revision: (this.revision += 1), text: undefined });
  }

  /** Publishes a configuration. */
  publishConfiguration(options: PublishedConfigurationOptions = {}): void {
    this.put("op/config", createPublishedConfiguration(options));
  }

  /**
   * Publishes an upstream's entry.
   * @param address - Published address, if not the upstream's own.
   */
  publishUpstream(
    upstream: ScriptedUpstream,
    state = "ready",
    sequence = 1,
    address?: string,
  ): void {
    const entry = upstream.getEntry(publishedService, state, sequence, address);
    this.put(`servers/${upstream.id}`, entry);
  }

  /**
   * Publishes the entry of an upstream that another process serves.
   * @param id - Id of the upstream.
   * @param address - Its address, in the form `HOST:PORT`.
   */
  publishAddress(id: string, address: string): void {
    const identity = { service: publishedService, address, zone: "north", version: "v1" };
    this.put(`servers/${id}`, { ...identity, slots: 64, state: "ready", seq_no: 1, born: 1 });
  }

  /** Publishes an upstream entry whose text is not valid JSON. */
  publishMalformedUpstream(id: string): void {
    this.put(`servers/${id}`, "{");
  }

  /** Removes an upstream's entry. */
  removeUpstream(id: string): void {
    this.remove(`servers/${id}`);
  }

  /** Starts the evacuation of a zone. */
  evacuateZone(zone: string): void {
    this.put(`${evacuationPrefix}${zone}`, "1");
  }

  /** Ends the evacuation of a zone. */
  returnZone(zone: string): void {
    this.remove(`${evacuationPrefix}${zone}`);
  }

  /** Discards the history, so that watches from an earlier revision get 410. */
  discardHistory(): void {
    this.revision += 1;
    this.changes = [];
    this.oldestRevision = this.revision;
    this.finishPendingWatches();
  }

  /** Copies the content, for a later restoration. */
  createCopy(): StoreCopy {
    return { items: new Map(this.items), changes: [...this.changes], revision: this.revision };
  }

  /**
   * Replaces the content by a copy and starts the next era: later writes are lost, and their
   * revisions are given out again.
   * @param copy - Copy made earlier.
   */
  restore(copy: StoreCopy): void {
    this.items.clear();
    copy.items.forEach((item, key) => this.items.set(key, item));
    this.changes = [...copy.changes];
    this.revision = copy.revision;
    this.era += 1;
    this.finishPendingWatches();
  }

  /** Sets how calls are responded to from now on; pending watches end at once. */
  setMode(mode: StoreMode): void {
    this.mode = mode;
    this.finishPendingWatches();
    if (mode === "reset") {
      this.getServers().forEach((server) => {
        server.closeAllConnections();
      });
    }
  }

  private getServers(): readonly Server[] {
    return [this.server, ...this.views];
  }

  private addChange(change: Change): void {
    if (change.text === undefined) {
      this.items.delete(change.key);
    } else {
      this.items.set(change.key, change);
    }
    this.changes.push(change);
    this.finishPendingWatches();
  }

  private finishPendingWatches(): void {
    this.pendingWatches.forEach(({ finish }) => {
      finish();
    });
  }

  private serve(
    request: IncomingMessage,
    response: ServerResponse,
    translate: AddressTranslation,
  ): void {
    this.callCount += 1;
    const url = new URL(request.url ?? "", "http://store");
    if (url.pathname === "/v1/kv-watch") {
      this.serveWatch(url, response, translate);
    } else {
      this.respond(response, 200, () => this.getPage(url, translate));
    }
  }

  private getPage(url: URL, translate: AddressTranslation): unknown {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    const matching = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      entries: matching.slice(0, itemsPerPage).map((change) => toItem(change, translate)),
      more_pages: matching.length > itemsPerPage,
      current_rev: this.revision,
    };
  }

  private serveWatch(url: URL, response: ServerResponse, translate: AddressTranslation): void {
    const after = Number(url.searchParams.get("after"));
    const waitMilliseconds = Number(url.searchParams.get("wait_ms"));
    const getNewChanges = (): Change[] => this.changes.filter(({ revision }) => revision > after);
    const isHistoryLost = (): boolean => after < this.oldestRevision - 1 || after > this.revision;
    const finish = (): void => {
      clearTimeout(timer);
      this.pendingWatches.delete(watch);
      this.respond(response, isHistoryLost() ? 410 : 200, () => ({
        events: getNewChanges().map((change) => toItem(change, translate)),
        current_rev: this.revision,
      }));
    };
    const watch = { finish };
    const timer = setTimeout(finish, waitMilliseconds);
    this.pendingWatches.add(watch);
    if (isHistoryLost() || getNewChanges().length > 0 || this.mode !== "up") {
      finish();
    }
  }

  private respond(response: ServerResponse, status: number, getBody: () => unknown): void {
    if (this.mode === "silent") {
      return;
    }
    if (this.mode === "reset") {
      response.socket?.resetAndDestroy();
      return;
    }
    const code = this.mode === "busy" ? 503 : status;
    response.writeHead(code, { "content-type": "application/json", "store-era": this.era });
    response.end(code === 200 ? JSON.stringify(getBody()) : "");
  }
}

const keepAddresses: AddressTranslation = () => undefined;

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return getAddress(server);
}

function getAddress(server: Server): string {
  const address = server.address();
  return typeof address === "object" && address !== null ? `127.0.0.1:${String(address.port)}` : "";
}

function toItem({ key, revision, text }: Change, translate: AddressTranslation): unknown {
  if (text === undefined) {
    return { key, revision, removed: true };
  }
  const value = Buffer.from(translateAddress(key, text, translate)).toString("base64");
  return { key, revision, created: revision, lease: 0, value };
}

const upstreamPrefix = "servers/";

/** Replaces the address in the entry of an upstream. */
function translateAddress(key: string, text: string, translate: AddressTranslation): string {
  const address = key.startsWith(upstreamPrefix)
    ? translate(key.slice(upstreamPrefix.length))
    : undefined;
  return address === undefined
    ? text
    : JSON.stringify({ ...(JSON.parse(text) as object), address });
}
