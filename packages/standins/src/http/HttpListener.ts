import { createHash } from "node:crypto";
import { fastify, type FastifyInstance } from "fastify";

const bodyLimitBytes = 4 * 1024 * 1024;

/** A Fastify server on the loopback interface that reads request bodies as raw bytes. */
export class HttpListener {
  private boundAddress = "";

  private constructor(readonly server: FastifyInstance) {}

  /** Creates a listener that is not bound yet. */
  static create(): HttpListener {
    const server = fastify({ bodyLimit: bodyLimitBytes, forceCloseConnections: true });
    server.removeAllContentTypeParsers();
    server.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, done) => {
      done(null, body);
    });
    server.addHook("onSend", (_request, reply, payload, done) => {
      if (typeof payload === "string" || Buffer.isBuffer(payload)) {
        void reply.header("content-digest", getContentDigest(payload));
      }
      done(null, payload);
    });
    return new HttpListener(server);
  }

  /** Gets the address in the form `127.0.0.1:PORT`; empty before `listen`. */
  get address(): string {
    return this.boundAddress;
  }

  /**
   * Binds the listener and returns its address.
   * @param port - Port to bind; 0 picks a free one.
   */
  async listen(port: number): Promise<string> {
    const url = await this.server.listen({ host: "127.0.0.1", port });
    this.boundAddress = new URL(url).host;
    return this.boundAddress;
  }

  /** Closes the listener and every connection. */
  async close(): Promise<void> {
    await this.server.close();
  }
}

/** Gets the value of the `content-digest` header (RFC 9530). */
function getContentDigest(body: string | Buffer): string {
  return `sha-256=:${createHash("sha256").update(body).digest("base64")}:`;
}
