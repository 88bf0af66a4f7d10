import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";

/** What a fake daemon answers, by path and query. */
export type FakeResponses = Readonly<Record<string, unknown>>;

/** An operations listener with fixed answers; any other path is answered 404. */
export class FakeDaemon {
  private constructor(private readonly server: Server) {}

  /**
   * Creates a fake daemon that listens on an ephemeral port.
   * @param responses - What to answer, by path and query.
   */
  static async create(responses: FakeResponses): Promise<FakeDaemon> {
    const server = createServer((request, response) => {
      const answer = responses[request.url ?? ""];
      response.statusCode = answer === undefined ? 404 : 200;
      response.end(JSON.stringify(answer ?? { detail: "no such path" }));
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
