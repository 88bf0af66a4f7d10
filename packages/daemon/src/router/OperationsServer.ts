import { createServer, type Server, type ServerResponse } from "node:http";
import { listenOn } from "../listening/index.js";

/** A page for operators: its status, content type and text. */
export interface OperationsPage {
  readonly status: number;
  readonly type: string;
  readonly text: string;
}

/** Creates a page from the query of its request. */
export type PageSource = (query: URLSearchParams) => OperationsPage | Promise<OperationsPage>;

/** Serves small pages by path: readiness, status, metrics. */
export class OperationsServer {
  private readonly server: Server;

  private constructor(
    private readonly pages: Readonly<Record<string, PageSource>>,
    private readonly onError: (error: Error) => void,
  ) {
    this.server = createServer((request, response) => {
      const [path = "", query] = (request.url ?? "").split("?");
      this.respond(path, new URLSearchParams(query), response).catch((error: unknown) => {
        this.respondWithError(response, error);
      });
    });
  }

  /**
   * Creates a server that does not listen yet.
   * @param pages - Pages by path.
   * @param onError - Called when a page fails.
   */
  static create(
    pages: Readonly<Record<string, PageSource>>,
    onError: (error: Error) => void,
  ): OperationsServer {
    return new OperationsServer(pages, onError);
  }

  /**
   * Starts to listen.
   * @param address - IPv4 address and port.
   * @param onError - Called with each later error of the listener.
   */
  async listen(address: string, onError: (error: Error) => void): Promise<void> {
    await listenOn(this.server, address, onError);
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async respond(
    path: string,
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const source = this.pages[path];
    const page = await (source?.(query) ?? {
      status: 404,
      type: "text/plain",
      text: "unknown page\n",
    });
    const { status, type, text } = page;
    response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(text) });
    response.end(text);
  }

  private respondWithError(response: ServerResponse, error: unknown): void {
    this.onError(error instanceof Error ? error : new Error(String(error)));
    response.writeHead(500).end();
  }
}
