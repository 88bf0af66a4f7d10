import { isRepeatable, type ChosenPath } from "@pistachioway/kernel";
import type { AcceptedRequest } from "./AcceptedRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import type { AttemptTarget } from "./AttemptTarget.js";
import { chooseRequestUpstream } from "./chooseRequestUpstream.js";
import { createUpstreamRefusal } from "./createUpstreamRefusal.js";
import { isRefusalName, type Refusal } from "./refusals.js";
import { UpstreamTarget } from "./UpstreamTarget.js";

/** Where the next attempt of a request goes, or why there is none. */
export type TargetChoice =
  | { readonly kind: "target"; readonly target: AttemptTarget }
  | { readonly kind: "refusal"; readonly refusal: Refusal };

/** Peers that one request is sent to at most, if they cannot take it. */
const maxPeers = 3;

/** Chooses the targets of a request's attempts: upstreams that this daemon reaches, else peers that reach some. */
export class TargetChooser {
  private readonly triedUpstreamIds: Set<string>;
  private triedPeers = 0;

  private constructor(
    private readonly dependencies: ActiveRequestDependencies,
    private readonly request: AcceptedRequest,
  ) {
    this.triedUpstreamIds = new Set(request.forwarded?.triedUpstreams);
  }

  /**
   * Creates the chooser of a request.
   * @param dependencies - Dependencies of the request's processing.
   * @param request - The request.
   */
  static create(dependencies: ActiveRequestDependencies, request: AcceptedRequest): TargetChooser {
    return new TargetChooser(dependencies, request);
  }

  /** Excludes an upstream from the next choices, since the request was sent to it. */
  addTriedUpstream(id: string): void {
    this.triedUpstreamIds.add(id);
  }

  /**
   * Chooses the next target.
   * @param softwareVersion - Only version whose upstreams may take the request; undefined for any.
   * @param last - Target of the attempt before.
   */
  choose(softwareVersion: string | undefined, last: AttemptTarget | undefined): TargetChoice {
    const { dependencies, request } = this;
    const constraints = { excluded: this.triedUpstreamIds, softwareVersion };
    const choice = chooseRequestUpstream(dependencies, request, constraints);
    if (choice === undefined) {
      const refusal = createUpstreamRefusal(dependencies, request, softwareVersion);
      return { kind: "refusal", refusal };
    }
    const peer = choice.path === "open" ? undefined : this.choosePeer(softwareVersion);
    if (peer !== undefined) {
      return { kind: "target", target: peer };
    }
    if (!this.maySend(choice.path)) {
      return { kind: "refusal", refusal: this.createUnreachedRefusal(last) };
    }
    this.triedUpstreamIds.add(choice.entry.record.id);
    const target = UpstreamTarget.create(dependencies, request, choice, constraints);
    return { kind: "target", target };
  }

  /** A request that must not run twice is lost on a path that hangs; it is not sent before the path has proven itself. */
  private maySend(path: ChosenPath): boolean {
    return path === "doubted" ? isRepeatable(this.request.approval.route) : path !== "closed";
  }

  private choosePeer(softwareVersion: string | undefined): AttemptTarget | undefined {
    const { forwarder } = this.dependencies;
    if (forwarder === undefined || this.triedPeers >= maxPeers) {
      return undefined;
    }
    const constraints = { excluded: this.triedUpstreamIds, softwareVersion };
    const peer = forwarder.choose(this.request, constraints);
    this.triedPeers += peer === undefined ? 0 : 1;
    return peer;
  }

  /** Creates the refusal of a request whose service neither this daemon nor a peer reaches. */
  private createUnreachedRefusal(last: AttemptTarget | undefined): Refusal {
    const told = last?.getRefusal();
    const name = told !== undefined && isRefusalName(told.name) ? told.name : "no-upstream";
    return {
      name,
      detail: `no upstream of service "${this.request.service}" can be reached from here, nor through a peer`,
      retryAfterSeconds: told?.retryAfterSeconds,
    };
  }
}
