import {
  membershipPlugin,
  type ChangedEffect,
  type HostSign,
  type HostView,
  type Instant,
  type Kernel,
  type MembershipEffect,
  type MembershipMessage,
  type MembershipView,
  type Observation,
  type ProbeEffect,
} from "@pistachioway/kernel";
import type { AttemptAnswer, AttemptFailure } from "../upstreams/index.js";

/** What the directory works with. */
export interface DirectoryParts {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  readonly onChanged: (effect: ChangedEffect) => void;
  readonly onSigns: (signs: readonly HostSign[]) => void;
  readonly onProbe: (probe: ProbeEffect) => void;
  readonly onRefresh: () => void;
}

/** Owns the membership plug-in: which hosts get new work, and where they are. */
export class HostDirectory {
  private constructor(private readonly parts: DirectoryParts) {}

  /**
   * Creates the directory.
   * @param parts - What the directory works with.
   */
  static create(parts: DirectoryParts): HostDirectory {
    return new HostDirectory(parts);
  }

  /** Gets the hosts as this daemon sees them. */
  getView(): MembershipView {
    return this.parts.kernel.getStateOrThrow(membershipPlugin).view;
  }

  /**
   * Gets the address of an upstream host.
   * @param name - Name of the host.
   */
  getAddress(name: string): string | undefined {
    return this.getView().hosts.get(name)?.address;
  }

  /**
   * Tells whether an upstream host takes new work.
   * @param name - Name of the host.
   */
  isEligible(name: string): boolean {
    const host = this.getView().hosts.get(name);
    return host !== undefined && isEligibleState(host);
  }

  /**
   * Takes what an attempt showed of an upstream host.
   * @param host - Name of the host.
   * @param answer - Answer or failure of the attempt.
   * @param isCallerGone - True when the attempt ended because the caller went away.
   */
  addObservation(
    host: string,
    answer: AttemptAnswer | AttemptFailure,
    isCallerGone: boolean,
  ): void {
    const sign = isCallerGone ? undefined : getSign(answer);
    if (sign !== undefined) {
      this.send({ kind: "observed", host, sign, at: this.parts.getNow() });
    }
  }

  /**
   * Hands a message to the plug-in and carries out the effects.
   * @param message - Message to handle.
   */
  send(message: MembershipMessage): void {
    const effects = this.parts.kernel.send(membershipPlugin, message, this.parts.getNow());
    for (const effect of effects) {
      this.carryOut(effect);
    }
  }

  private carryOut(effect: MembershipEffect): void {
    switch (effect.kind) {
      case "changed":
        this.parts.onChanged(effect);
        return;
      case "spread":
        this.parts.onSigns(effect.signs);
        return;
      case "probe":
        this.parts.onProbe(effect);
        return;
      case "refresh":
        this.parts.onRefresh();
    }
  }
}

/**
 * Tells whether a host in this state takes new work.
 * @param host - Host as this daemon sees it.
 */
export function isEligibleState(host: HostView): boolean {
  return host.state === "eligible";
}

/** Gets what an attempt proves of a host; a slow or broken answer alone proves nothing. */
function getSign(answer: AttemptAnswer | AttemptFailure): Observation | undefined {
  if (answer.kind === "answer") {
    return "answered";
  }
  switch (answer.class) {
    case "neverSent":
      return "connectFailed";
    case "refused":
      return answer.isLeaving ? "leaving" : "refused";
    default:
      return undefined;
  }
}
