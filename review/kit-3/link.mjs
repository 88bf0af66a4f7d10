// Network links between two addresses: they carry bytes at a rate, and can be cut and healed.
import { connect, createServer } from "node:net";
import { performance } from "node:perf_hooks";

const partBytes = 8_192;
const bitsPerByte = 8;

/** A link whose bytes from the target come at a rate that all its channels share. */
export class PacedLink {
  queue = [];
  isBusy = false;

  constructor(target, megabits) {
    const [host, port] = target.split(":");
    this.target = { host, port: Number(port) };
    this.bytesPerMillisecond = (megabits * 1_000_000) / bitsPerByte / 1_000;
  }

  async listen(host = "127.0.0.1") {
    this.server = createServer((near) => this.accept(near));
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${String(this.server.address().port)}`;
    this.sockets = new Set();
  }

  accept(near) {
    const far = connect(this.target);
    for (const socket of [near, far]) {
      this.sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.sockets.delete(socket));
    }
    near.pipe(far);
    far.on("data", (bytes) => {
      far.pause();
      this.queue.push({ near, far, bytes });
      this.carry();
    });
    far.once("close", () => this.queue.push({ near, far, bytes: undefined }) && this.carry());
    near.once("close", () => far.destroy());
  }

  /** Carries the next part; the time that it takes is counted from the end of the part before. */
  carry() {
    if (this.isBusy) {
      return;
    }
    const next = this.queue.shift();
    if (next === undefined) {
      this.freeAt = undefined;
      return;
    }
    const { near, far, bytes } = next;
    if (bytes === undefined) {
      near.end();
      this.carry();
      return;
    }
    const part = bytes.subarray(0, partBytes);
    const rest = bytes.subarray(partBytes);
    const now = performance.now();
    this.freeAt = Math.max(this.freeAt ?? now, now - 5) + part.length / this.bytesPerMillisecond;
    this.isBusy = true;
    setTimeout(
      () => {
        this.isBusy = false;
        if (!near.destroyed) {
          near.write(part);
        }
        if (rest.length > 0) {
          this.queue.push({ near, far, bytes: rest });
        } else {
          far.resume();
        }
        this.carry();
      },
      Math.max(0, this.freeAt - now),
    );
  }

  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}

/**
 * A link that can be cut: what is on its way is held until it heals, unless the sender resets its channel; new channels are
 * refused meanwhile.
 */
export class CutLink {
  isCut = false;
  channels = new Set();

  constructor(target) {
    const [host, port] = target.split(":");
    this.target = { host, port: Number(port), allowHalfOpen: true };
  }

  async listen(host = "127.0.0.1") {
    this.server = createServer({ allowHalfOpen: true }, (near) => this.accept(near));
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.host = host;
    this.port = this.server.address().port;
    this.address = `${host}:${String(this.port)}`;
  }

  accept(near) {
    const far = connect(this.target);
    const channel = { sockets: [near, far], held: [] };
    this.channels.add(channel);
    this.carry(channel, near, far);
    this.carry(channel, far, near);
  }

  carry(channel, from, to) {
    const pass = (act) => (this.isCut ? channel.held.push({ from, act }) : act());
    from.on("data", (bytes) => pass(() => to.destroyed || to.write(bytes)));
    from.on("end", () => pass(() => to.end()));
    from.on("error", () => {
      // A reset: what this side has sent is lost with it.
      channel.held = channel.held.filter((item) => item.from !== from);
      pass(() => to.destroy());
    });
    from.once("close", () => {
      if (from.destroyed && to.destroyed) {
        this.channels.delete(channel);
      }
    });
  }

  cut() {
    this.isCut = true;
    this.server.close();
  }

  heal() {
    this.isCut = false;
    this.server.listen(this.port, this.host);
    for (const channel of this.channels) {
      channel.held.splice(0).forEach(({ act }) => act());
    }
  }

  close() {
    this.server.close();
    this.channels.forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()));
  }
}
