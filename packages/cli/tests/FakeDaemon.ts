import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Responses of a fake daemon, by path and query. */
export type FakeResponses = Readonly<Record<string, unknown>>;

/** An operations listener with fixed responses; other paths get status 404. */
export class FakeDaemon {
  private constructor(private readonly server: Server) {}

  /**
   * Creates a fake daemon that listens on an ephemeral port.
   * @param responses - Responses, by path and query.
   */
  static async create(responses: FakeResponses): Promise<FakeDaemon> {
    const server = createServer((request, response) => {
      const body = responses[request.url ?? ""];
      response.statusCode = body === undefined ? 404 : 200;
      response.end(JSON.stringify(body ?? { detail: "no such path" }));
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return new FakeDaemon(server);
  }

  /** Gets the address and port. */
  getAddress(): string {
    return `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
  }

  /** Stops listening. */
  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
