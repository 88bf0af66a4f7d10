import type { UpstreamEntry } from "../upstreams/index.js";
import type { RequestWork } from "./RequestWork.js";

/** Estimates how long engines take for the work that they hold. Times are monotonic milliseconds. */
export class WorkEstimator {
  private constructor() {
    // Created through the static method.
  }

  /** Creates an estimator that knows no service. */
  static create(): WorkEstimator {
    return new WorkEstimator();
  }

  /**
   * Checks whether the upstreams of a service tell how long work takes on their hosts.
   * @param _service - Name of the service.
   */
  isWorkAware(_service: string): boolean {
    return false;
  }

  /**
   * Gets the time from the sending of a request until its first byte; undefined while it cannot be estimated.
   * @param _entry - Upstream that it would be sent to.
   * @param _work - Work of the request there.
   * @param _now - Current time.
   */
  getExpectedMilliseconds(
    _entry: UpstreamEntry,
    _work: RequestWork,
    _now: number,
  ): number | undefined {
    return undefined;
  }
}
