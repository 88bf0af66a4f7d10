import { longTrialMilliseconds, probeIntervalMilliseconds } from "./constants.js";

/**
 * What a daemon knows of its own path to an upstream:
 *
 * - `open`: nothing speaks against it.
 * - `doubted`: several paths of the service seem to have failed together; being probed.
 * - `trial`: connections open, but no bytes have come since it fell silent.
 * - `closed`: connections fail, or it fell silent and no probe has connected since.
 */
export type PathState = "open" | "doubted" | "trial" | "closed";

/** A daemon's path to one upstream. Instants are monotonic milliseconds. */
export class UpstreamPath {
  private receivedAt = -Infinity;
  private connectedAt = -Infinity;
  private probedAt = -Infinity;
  /** When the last connection failed; undefined once one has opened. */
  private refusedAt: number | undefined;
  /** When the upstream fell silent; undefined once it has sent bytes. */
  private silentSince: number | undefined;
  /** Whether it counts as silent only because others of its service fell silent. */
  private isSilentLikeOthers = false;
  /** When the path was doubted together with the others of its service; undefined while it is not. */
  private doubtedAt: number | undefined;
  private isTrialGranted = false;
  private isProbeRequested = false;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a path against which nothing speaks. */
  static create(): UpstreamPath {
    return new UpstreamPath();
  }

  /** Gets what is known of the path. */
  getState(): PathState {
    if (this.refusedAt !== undefined) {
      return "closed";
    }
    if (this.silentSince !== undefined) {
      return this.connectedAt > this.silentSince ? "trial" : "closed";
    }
    return this.doubtedAt === undefined ? "open" : "doubted";
  }

  /**
   * Checks whether the upstream may have restarted since it last sent bytes: connections failed, or it fell silent by
   * itself and none has opened since.
   */
  mayHaveRestarted(): boolean {
    return (
      this.getState() === "closed" && !this.isSilentLikeOthers && !this.isOpenToOldConnections()
    );
  }

  /** Checks whether the upstream has fallen silent and sent no bytes since. */
  isSilent(): boolean {
    return this.silentSince !== undefined;
  }

  /** Gets when bytes of the upstream last came. */
  getReceivedAt(): number {
    return this.receivedAt;
  }

  /** Gets when the path last proved itself, by bytes or by a connection that opened. */
  getProvenAt(): number {
    return Math.max(this.receivedAt, this.connectedAt);
  }

  /** Checks whether open connections still bring bytes although new ones fail. */
  isOpenToOldConnections(): boolean {
    return this.refusedAt !== undefined && this.receivedAt > this.refusedAt;
  }

  /** Records bytes of the upstream. They do not show that new connections open. */
  recordReceivedBytes(now: number): void {
    this.receivedAt = now;
    this.silentSince = undefined;
    this.isSilentLikeOthers = false;
    this.doubtedAt = undefined;
  }

  /** Records that a connection has opened. Where connections failed before, that explains a silence. */
  recordConnected(now: number): void {
    if (this.refusedAt !== undefined) {
      this.silentSince = undefined;
      this.isSilentLikeOthers = false;
    }
    this.connectedAt = now;
    this.refusedAt = undefined;
    this.doubtedAt = undefined;
  }

  /** Records that no connection could be opened. */
  recordConnectFailure(now: number): void {
    this.refusedAt = now;
    this.probedAt = now;
  }

  /** Records that the upstream holds requests and sends nothing. A probe is due at once. */
  recordSilence(now: number): void {
    this.silentSince = now;
    this.isSilentLikeOthers = false;
    this.probedAt = -Infinity;
  }

  /** Records that other upstreams of the service fell silent, and that no byte of any has come since. */
  recordSilenceOfOthers(now: number): void {
    if (this.getState() === "open" || this.getState() === "doubted") {
      this.recordSilence(now);
      this.isSilentLikeOthers = true;
    }
  }

  /** Records that bytes of another upstream of the service have come. */
  recordBytesOfOthers(): void {
    if (this.isSilentLikeOthers) {
      this.silentSince = undefined;
      this.isSilentLikeOthers = false;
    }
  }

  /** Doubts an open path until it proves itself. A probe is due at once. */
  startDoubt(now: number): void {
    if (this.getState() === "open") {
      this.doubtedAt = now;
      this.probedAt = -Infinity;
    }
  }

  /** Ends the doubt, since another path of the service has proven itself. */
  endDoubt(): void {
    this.doubtedAt = undefined;
  }

  /** Checks whether a probe of the path is due: whether a connection opens. */
  isProbeDue(now: number): boolean {
    const state = this.getState();
    const isUnknown = state === "doubted" || state === "closed";
    return (isUnknown || this.isProbeRequested) && now - this.probedAt >= probeIntervalMilliseconds;
  }

  /** Requests a probe of a path that is open as far as is known. */
  requestProbe(): void {
    this.isProbeRequested = true;
  }

  /** Gets when the last probe began. */
  getProbedAt(): number {
    return this.probedAt;
  }

  /** Records that a probe begins. */
  startProbe(now: number): void {
    this.probedAt = now;
    this.isProbeRequested = false;
  }

  /** Allows one request on a path on trial. */
  grantTrial(): void {
    this.isTrialGranted = true;
  }

  /**
   * Checks whether a request may be sent on a path on trial; one that must not run twice only once the trial has lasted.
   * @param isRepeatable - Whether the request may run more than once.
   * @param now - Current time.
   */
  admitsTrial(isRepeatable: boolean, now: number): boolean {
    const isLong = now - this.connectedAt >= longTrialMilliseconds;
    return this.isTrialGranted && this.getState() === "trial" && (isRepeatable || isLong);
  }

  /** Records that a request is sent, which uses up a trial. */
  recordSend(): void {
    this.isTrialGranted = false;
  }
}
