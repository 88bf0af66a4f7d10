import type { Upstream } from "@pistachioway/kernel";
import { getResumedIdStart, type AcceptedRequest } from "./AcceptedRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import type { Refusal } from "./refusals.js";

/** What the origin of a stream depends on. */
export type StreamOriginDependencies = Pick<ActiveRequestDependencies, "streams">;

/**
 * The software version at which the stream of a request began, in this request or in an earlier one of its
 * caller: what upstreams of two versions write does not fit together.
 */
export class StreamOrigin {
  /** Version at which the stream must go on; undefined while it has not begun. */
  private version: string | undefined;
  /** Version that was recorded for the stream of this request. */
  private recordedVersion: string | undefined;

  private constructor(
    private readonly dependencies: StreamOriginDependencies,
    private readonly request: AcceptedRequest,
  ) {}

  /**
   * Creates the origin of a request's stream, if it has one.
   * @param dependencies - Finds the versions of streams and of upstreams.
   * @param request - The request.
   */
  static create(dependencies: StreamOriginDependencies, request: AcceptedRequest): StreamOrigin {
    return new StreamOrigin(dependencies, request);
  }

  /** Gets the only version to whose upstreams the request may be sent; undefined for any. */
  getVersion(): string | undefined {
    return this.version;
  }

  /**
   * Finds out where a stream began that the caller resumes; for other requests the listener is called at once.
   * A caller that does not name the request which began it is served while the service is known to have had one version
   * only, since no daemon can look its stream up.
   * @param listener - Called once the request may be sent, or with a refusal when the version is not known.
   */
  find(listener: (refusal: Refusal | undefined) => void): void {
    const { approval, head, service, forwarded } = this.request;
    this.version = forwarded?.softwareVersion;
    const isNew = approval.route.kind !== "stream" || head.lastEventId === undefined;
    if (isNew || this.version !== undefined) {
      listener(undefined);
      return;
    }
    const handleVersion = (version: string | undefined): void => {
      this.version = version;
      listener(version === undefined ? createUnknownRefusal(this.request) : undefined);
    };
    const { streams } = this.dependencies;
    if (head.resumedRequestId === undefined) {
      streams.findOnlyVersion(head.id, service, handleVersion);
    } else {
      streams.findVersion(head.resumedRequestId, service, handleVersion);
    }
  }

  /** Records that the request is sent to an upstream, at which its stream may begin. */
  recordSend({ softwareVersion }: Upstream): void {
    const { approval, head, service } = this.request;
    const mayBegin = approval.route.kind === "stream" && this.version === undefined;
    if (mayBegin && this.recordedVersion !== softwareVersion) {
      this.recordedVersion = softwareVersion;
      this.dependencies.streams.addStream(head.id, service, softwareVersion);
    }
  }

  /** Records that the caller has received the stream whole. */
  recordEnd(): void {
    const { approval, head } = this.request;
    if (approval.route.kind === "stream") {
      this.dependencies.streams.removeStream(head.resumedRequestId ?? head.id);
    }
  }

  /** Records that the stream has begun at an upstream of a software version, if that is known. */
  recordStart(version: string | undefined): void {
    this.version ??= version;
  }
}

function createUnknownRefusal({ head }: AcceptedRequest): Refusal {
  const id = getResumedIdStart(head);
  const stream =
    id === undefined ? "a stream without the id of its first request" : `stream "${id}"`;
  return {
    name: "stream-version-unknown",
    detail: `no router knows at which software version ${stream} began`,
    retryAfterSeconds: undefined,
  };
}
