import {
  getCandidates,
  getView,
  membershipPlugin,
  pauseMilliseconds,
  type ChangedEffect,
  type HealthReport,
  type HostView,
  type Instant,
  type Kernel,
  type MembershipEffect,
  type MembershipMessage,
  type MembershipView,
  type Observation,
  type ProbeEffect,
} from "@pistachioway/kernel";
import { setTimeout as delay } from "node:timers/promises";
import type { AttemptResponse, AttemptFailure } from "../upstreams/index.js";

/** What the directory depends on. */
export interface HostDirectoryDependencies {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  readonly onChanged: (effect: ChangedEffect) => void;
  readonly onHealthReports: (reports: readonly HealthReport[]) => void;
  readonly onProbe: (probe: ProbeEffect) => void;
  readonly onRefresh: () => void;
  /** Counts an attempt by the kind of host and its result. */
  readonly onAttempt: (kind: HostView["role"], result: string) => void;
}

const pollPeriodMilliseconds = 20;

/** Runs the membership plug-in: which hosts get new requests, and their addresses. */
export class HostDirectory {
  private constructor(private readonly dependencies: HostDirectoryDependencies) {}

  /**
   * Creates the directory.
   * @param dependencies - What the directory depends on.
   */
  static create(dependencies: HostDirectoryDependencies): HostDirectory {
    return new HostDirectory(dependencies);
  }

  /** Gets the hosts as known to this daemon. */
  getView(): MembershipView {
    return getView(this.dependencies.kernel.getStateOrThrow(membershipPlugin));
  }

  /**
   * Gets the address of an upstream host.
   * @param name - Name of the host.
   */
  getAddress(name: string): string | undefined {
    return this.getView().hosts.get(name)?.address;
  }

  /**
   * Gets the hosts that may get a new request; waits while their state is not known.
   * @param names - Names of the hosts that could serve the request.
   * @param deadline - When to stop waiting.
   * @param signal - Aborted when the caller disconnects.
   */
  async getUsable(
    names: readonly string[],
    deadline: Instant,
    signal?: AbortSignal,
  ): Promise<readonly HostView[]> {
    for (;;) {
      const now = this.dependencies.getNow();
      const candidates = getCandidates(this.getView(), names, now);
      if (candidates.kind === "hosts") {
        return candidates.hosts;
      }
      if (candidates.kind === "none" || now >= deadline || signal?.aborted === true) {
        return [];
      }
      this.send({ kind: "tick", at: now });
      await delay(pollPeriodMilliseconds);
    }
  }

  /**
   * Gets the hosts that may get new requests now.
   * @param names - Names of hosts.
   */
  getUsableNow(names: readonly string[]): readonly HostView[] {
    const candidates = getCandidates(this.getView(), names, this.dependencies.getNow());
    return candidates.kind === "hosts" ? candidates.hosts : [];
  }

  /** Checks whether this process was paused and has not handled a message since. */
  isStale(): boolean {
    return this.dependencies.getNow() - this.getView().lastMessageAt > pauseMilliseconds;
  }

  /**
   * Records what the result of an attempt shows about an upstream host.
   * @param host - Name of the host.
   * @param answer - Answer or failure of the attempt.
   * @param isCallerGone - True when the attempt ended because the caller disconnected.
   */
  addObservation(
    host: string,
    answer: AttemptResponse | AttemptFailure,
    isCallerGone: boolean,
  ): void {
    const role = this.getView().hosts.get(host)?.role;
    if (role !== undefined) {
      this.dependencies.onAttempt(role, answer.kind === "answer" ? "answered" : answer.class);
    }
    const observation = isCallerGone ? undefined : toObservation(answer);
    if (observation !== undefined) {
      this.send({ kind: "observed", host, observation, at: this.dependencies.getNow() });
    }
  }

  /**
   * Sends a message to the plug-in and carries out its effects.
   * @param message - Message to handle.
   */
  send(message: MembershipMessage): void {
    const effects = this.dependencies.kernel.send(
      membershipPlugin,
      message,
      this.dependencies.getNow(),
    );
    for (const effect of effects) {
      this.carryOut(effect);
    }
  }

  private carryOut(effect: MembershipEffect): void {
    switch (effect.kind) {
      case "changed":
        this.dependencies.onChanged(effect);
        return;
      case "gossip":
        this.dependencies.onHealthReports(effect.reports);
        return;
      case "probe":
        this.dependencies.onProbe(effect);
        return;
      case "refresh":
        this.dependencies.onRefresh();
    }
  }
}

/**
 * Gets what an attempt proves about a host. A slow or broken answer alone proves nothing, nor does a
 * request that this daemon itself did not send.
 */
function toObservation(answer: AttemptResponse | AttemptFailure): Observation | undefined {
  if (answer.kind === "answer") {
    return "answered";
  }
  switch (answer.class) {
    case "neverSent":
      return answer.hasConnectFailed === true ? "connectFailed" : undefined;
    case "refused":
      return answer.isLeaving ? "leaving" : "refused";
    default:
      return undefined;
  }
}
