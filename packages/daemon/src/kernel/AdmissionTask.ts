import {
  admissionPlugin,
  type AdmissionEffect,
  type AdmissionError,
  type AdmissionMessage,
  type Instant,
  type Kernel,
  type TeamTotal,
} from "@pistachioway/kernel";
import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem, type ProblemName } from "../errors/index.js";

/** What the task depends on. */
export interface AdmissionDependencies {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  /** Receives the totals of large teams, for the next gossip message. */
  readonly onTotals: (totals: readonly TeamTotal[]) => void;
}

type SettleCallback = (problem: Problem | undefined) => void;

const problemNames: Readonly<Record<string, ProblemName>> = {
  "queue-full": "over-capacity",
  "deadline-unreachable": "over-capacity",
  "deadline-passed": "deadline-exceeded",
  "team-over-limit": "team-over-limit",
};

/** Number of requests of a team since the start of the daemon. */
export interface TeamCounts {
  admitted: number;
  refused: number;
}

/** Runs the admission plug-in, and holds the requests that wait to be admitted. */
export class AdmissionTask {
  private readonly waiting = new Map<string, SettleCallback>();
  private readonly countsByTeam = new Map<string, TeamCounts>();

  private constructor(private readonly dependencies: AdmissionDependencies) {}

  /**
   * Creates the task.
   * @param dependencies - What the task depends on.
   */
  static create(dependencies: AdmissionDependencies): AdmissionTask {
    return new AdmissionTask(dependencies);
  }

  /**
   * Resolves when a request may run. The request counts against its team until `finish` is called.
   * @param request - Request of a caller.
   * @param cost - Part of the capacity that the request takes.
   * @throws Problem when the request is refused.
   */
  async admit(request: CallerRequest, cost: number): Promise<void> {
    const cancel = (): void => {
      this.cancel(request.id);
    };
    request.signal.addEventListener("abort", cancel);
    const problem = await new Promise<Problem | undefined>((resolve) => {
      this.waiting.set(request.id, resolve);
      const { id: requestId, deadline, team } = request;
      this.send({ kind: "arrive", requestId, team: team.name, cost, deadline });
    });
    request.signal.removeEventListener("abort", cancel);
    this.countRequest(request.team.name, problem === undefined);
    if (problem !== undefined) {
      throw problem;
    }
  }

  /**
   * Reports the end of an admitted request.
   * @param requestId - Id of the request.
   */
  finish(requestId: string): void {
    this.send({ kind: "finish", requestId });
  }

  /**
   * Sends a message to the plug-in and carries out its effects.
   * @param message - Message to handle.
   */
  send(message: AdmissionMessage): void {
    const effects = this.dependencies.kernel.send(
      admissionPlugin,
      message,
      this.dependencies.getNow(),
    );
    for (const effect of effects) {
      this.carryOut(effect);
    }
  }

  /**
   * Gets the number of requests of a team since the start of the daemon.
   * @param team - Name of the team.
   */
  getCounts(team: string): TeamCounts {
    return this.countsByTeam.get(team) ?? { admitted: 0, refused: 0 };
  }

  private countRequest(team: string, isAdmitted: boolean): void {
    const counts = this.getCounts(team);
    counts.admitted += isAdmitted ? 1 : 0;
    counts.refused += isAdmitted ? 0 : 1;
    this.countsByTeam.set(team, counts);
  }

  /** Cancels a request that is still waiting; a running one is finished by its own task. */
  private cancel(requestId: string): void {
    if (this.waiting.has(requestId)) {
      this.send({ kind: "cancel", requestId });
      const detail = "the caller went away while the request waited";
      this.settle(requestId, Problem.create("over-capacity", detail));
    }
  }

  private carryOut(effect: AdmissionEffect): void {
    switch (effect.kind) {
      case "admit":
        this.settle(effect.requestId, undefined);
        return;
      case "refuse":
      case "expire":
        this.settle(effect.requestId, toProblem(effect.error, effect.retryAt));
        return;
      case "teamTotals":
        this.dependencies.onTotals(effect.totals);
    }
  }

  private settle(requestId: string, problem: Problem | undefined): void {
    const resolve = this.waiting.get(requestId);
    this.waiting.delete(requestId);
    resolve?.(problem);
  }
}

function toProblem(error: AdmissionError, retryAt: Instant): Problem {
  const name = problemNames[error.code] ?? "over-capacity";
  return Problem.create(name, error.message, "not-run", retryAt);
}
