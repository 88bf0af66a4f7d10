import { chargeAccount, startAccount, type VirtualAccount } from "../fairness/index.js";
import type { QueuedRequest } from "./QueuedRequest.js";

interface TaggedRequest {
  readonly request: QueuedRequest;
  /** Virtual time at which its team's turn comes. */
  readonly tag: number;
}

/** Teams of one priority, which share what that priority gets. */
interface PriorityAccount {
  virtualTime: number;
  readonly teams: Map<string, VirtualAccount>;
}

/** Teams have equal shares. */
const share = 1;

/**
 * The requests that wait for one service. They are ordered by priority; between teams of a priority by virtual time;
 * within a team by whether the objective can still be met, then by deadline.
 */
export class WaitingQueue {
  private readonly requests = new Set<QueuedRequest>();
  private readonly priorities = new Map<number, PriorityAccount>();
  private bytes = 0;

  private constructor(private readonly getFirstByteMilliseconds: (priority: number) => number) {}

  /**
   * Creates an empty queue.
   * @param getFirstByteMilliseconds - Gets the time from sending to the first byte of requests of a priority.
   */
  static create(getFirstByteMilliseconds: (priority: number) => number): WaitingQueue {
    return new WaitingQueue(getFirstByteMilliseconds);
  }

  /** Gets the number of requests. */
  getCount(): number {
    return this.requests.size;
  }

  /** Gets the size of the bodies of the requests. */
  getBytes(): number {
    return this.bytes;
  }

  /** Checks whether a request waits. */
  has(request: QueuedRequest): boolean {
    return this.requests.has(request);
  }

  /** Adds a request. */
  add(request: QueuedRequest): void {
    if (!this.hasRequestOfTeam(request)) {
      const priority = this.getPriority(request.priority);
      startAccount(priority, this.getTeam(priority, request.team));
    }
    this.requests.add(request);
    this.bytes += request.bytes;
  }

  /** Removes a request; one that does not wait is ignored. */
  remove(request: QueuedRequest): void {
    if (this.requests.delete(request)) {
      this.bytes -= request.bytes;
      this.removeIdleTeams(request.priority);
    }
  }

  /** Removes a request that is sent, and charges its team. */
  take(request: QueuedRequest): void {
    const priority = this.getPriority(request.priority);
    chargeAccount(priority, this.getTeam(priority, request.team), request.cost, share);
    this.remove(request);
  }

  /**
   * Gets the requests in the order in which they are to be sent.
   * @param now - Monotonic time.
   */
  getOrdered(now: number): readonly QueuedRequest[] {
    const tagged = this.getTagged(now);
    return tagged
      .sort(
        (a, b) =>
          a.request.priority - b.request.priority ||
          a.tag - b.tag ||
          this.compareInTeam(a.request, b.request, now),
      )
      .map(({ request }) => request);
  }

  /** Checks whether a request is expected to miss its objective even if it is sent now. */
  isLate({ priority, goalAt }: QueuedRequest, now: number): boolean {
    return now + this.getFirstByteMilliseconds(priority) > goalAt;
  }

  private getTagged(now: number): TaggedRequest[] {
    const tagsByTeam = new Map<VirtualAccount, number>();
    return [...this.requests]
      .sort((a, b) => this.compareInTeam(a, b, now))
      .map((request) => {
        const team = this.getTeam(this.getPriority(request.priority), request.team);
        const tag = tagsByTeam.get(team) ?? team.virtualTime;
        tagsByTeam.set(team, tag + request.cost / share);
        return { request, tag };
      });
  }

  private hasRequestOfTeam({ priority, team }: QueuedRequest): boolean {
    return [...this.requests].some((each) => each.priority === priority && each.team === team);
  }

  /** An idle team whose virtual time is not ahead starts as a new one would. */
  private removeIdleTeams(priority: number): void {
    const account = this.getPriority(priority);
    const waiting = [...this.requests].filter((request) => request.priority === priority);
    const waitingTeams = new Set(waiting.map(({ team }) => team));
    for (const [name, team] of account.teams) {
      if (!waitingTeams.has(name) && team.virtualTime <= account.virtualTime) {
        account.teams.delete(name);
      }
    }
  }

  private getPriority(priority: number): PriorityAccount {
    let account = this.priorities.get(priority);
    if (account === undefined) {
      account = { virtualTime: 0, teams: new Map() };
      this.priorities.set(priority, account);
    }
    return account;
  }

  private getTeam({ teams, virtualTime }: PriorityAccount, name: string): VirtualAccount {
    let team = teams.get(name);
    if (team === undefined) {
      team = { virtualTime };
      teams.set(name, team);
    }
    return team;
  }

  private compareInTeam(a: QueuedRequest, b: QueuedRequest, now: number): number {
    const lateness = Number(this.isLate(a, now)) - Number(this.isLate(b, now));
    return lateness || a.sendBy - b.sendBy || a.arrivedAt - b.arrivedAt;
  }
}
