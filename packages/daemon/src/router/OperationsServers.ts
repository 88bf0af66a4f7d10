import { OperationsServer } from "./OperationsServer.js";
import type { RouterPages } from "./RouterPages.js";

/** The servers of a router's pages: for the load balancer, for operators and peers, and for metrics. */
export class OperationsServers {
  readonly readiness: OperationsServer;
  readonly operations: OperationsServer;
  readonly metrics: OperationsServer;

  private constructor(pages: RouterPages, onError: (error: Error) => void) {
    this.readiness = OperationsServer.create(pages.getReadiness(), onError);
    this.operations = OperationsServer.create(pages.getAll(), onError);
    this.metrics = OperationsServer.create(pages.getMetrics(), onError);
  }

  /**
   * Creates servers that do not listen yet.
   * @param pages - The pages that they serve.
   * @param onError - Called when a page fails.
   */
  static create(pages: RouterPages, onError: (error: Error) => void): OperationsServers {
    return new OperationsServers(pages, onError);
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.readiness.close();
    this.operations.close();
    this.metrics.close();
  }
}
