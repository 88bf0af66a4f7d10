import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { Worker } from "node:worker_threads";

/** Connections that the kernel keeps for a listener of backlog 1 that accepts none. */
const queuedConnections = 2;
const settlingMilliseconds = 20;
/** A connection that takes longer finds the queue full, as others came before it. */
const connectMilliseconds = 500;
const stalled = 1;
const running = 0;

/** What the thread of an upstream is started with. */
export interface StalledUpstreamData {
  /** Whether the thread stands still: its first element is 1 while it does. */
  readonly state: Int32Array;
  readonly port: number;
}

/** An upstream with a thread of its own, which accepts no connections while it stands still: its queue is then full. */
export class StalledUpstream {
  private readonly fillers: Socket[] = [];

  private constructor(
    private readonly worker: Worker,
    private readonly state: Int32Array,
    readonly address: string,
  ) {}

  /**
   * Starts an upstream that is not standing still.
   * @param port - Port of its listener; a free one by default.
   */
  static async create(port = 0): Promise<StalledUpstream> {
    const state = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const workerData: StalledUpstreamData = { state, port };
    const worker = new Worker(new URL("./stalledUpstreamWorker.js", import.meta.url), {
      workerData,
    });
    const [listeningPort] = (await once(worker, "message")) as [number];
    return new StalledUpstream(worker, state, `127.0.0.1:${String(listeningPort)}`);
  }

  /** Lets it stand still, and fills the queue of its listener. */
  async stall(): Promise<void> {
    Atomics.store(this.state, 0, stalled);
    this.worker.postMessage("stall");
    await delay(settlingMilliseconds);
    const [host = "", port = ""] = this.address.split(":");
    for (let count = 0; count < queuedConnections; count += 1) {
      const filler = connect({ host, port: Number(port) });
      filler.on("error", () => undefined);
      this.fillers.push(filler);
      await Promise.race([once(filler, "connect"), delay(connectMilliseconds)]);
    }
  }

  /** Lets it go on, so that its queue empties. */
  goOn(): void {
    Atomics.store(this.state, 0, running);
    Atomics.notify(this.state, 0);
  }

  /** Ends it. */
  async close(): Promise<void> {
    this.fillers.forEach((filler) => filler.destroy());
    this.goOn();
    await this.worker.terminate();
  }
}
