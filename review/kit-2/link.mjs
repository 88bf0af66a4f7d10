/** A link to an engine that can be cut: what is on its way is held up, and new channels are refused, until it heals. */
import { connect, createServer } from "node:net";

export class Link {
  pairs = new Set();
  isCut = false;

  /** @param target - Address of the engine, as `HOST:PORT`. */
  constructor(target) {
    this.target = target;
  }

  async start(port = 0) {
    this.server = createServer({ allowHalfOpen: true }, (near) => this.join(near));
    await new Promise((resolve) => this.server.listen(port, "127.0.0.1", resolve));
    this.port = this.server.address().port;
    this.address = `127.0.0.1:${String(this.port)}`;
  }

  join(near) {
    const [host, port] = this.target.split(":");
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    const pair = { near, far };
    this.pairs.add(pair);
    near.on("data", (bytes) => far.write(bytes));
    far.on("data", (bytes) => near.write(bytes));
    near.on("end", () => far.end());
    far.on("end", () => near.end());
    const close = () => {
      this.pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    for (const socket of [near, far]) {
      socket.on("error", close);
    }
    near.on("close", close);
  }

  /** Begins a cut. */
  cut() {
    this.server.close();
    this.pairs.forEach(({ near, far }) => {
      near.pause();
      far.pause();
    });
  }

  /** Ends the cut: what was held up arrives, an end in its order too. */
  async heal() {
    const held = [...this.pairs];
    await this.start(this.port);
    held.forEach(({ near, far }) => {
      near.resume();
      far.resume();
    });
  }

  stop() {
    this.server.close();
    this.pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }
}
