import { streamLifetimeMilliseconds } from "@pistachioway/kernel";

/** Another daemon of the fleet. */
export interface Peer {
  readonly address: string;
  /** Changes with each start of the daemon, which then remembers nothing. */
  readonly incarnation: number;
}

/** A stream that began at this daemon, or was taken up there. */
export interface OwnStream {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly expiresAt: number;
}

/** What decides who is told of the streams. */
export interface OwnStreamsOptions {
  /** Gets the daemons that keep the version of a stream. */
  readonly getKeepers: (id: string) => readonly Peer[];
  /** Checks whether others could not tell the version of a service's streams by themselves. */
  readonly isUncertain: (service: string) => boolean;
  /** Tells a daemon the version of a stream. */
  readonly tell: (stream: OwnStream, keeper: Peer) => void;
}

interface OwnStreamState {
  readonly stream: OwnStream;
  /** The starts of daemons that were told. */
  readonly told: Set<string>;
  /** Value of `change` when all keepers were told last; -1 before. */
  toldChange: number;
}

/** Streams that are told in one call, so that many do not delay all else. */
const maxToldStreams = 64;

/** The streams of this daemon, whose versions others are told while these could not know them otherwise. */
export class OwnStreams {
  private readonly statesById = new Map<string, OwnStreamState>();
  /** Number of times that the live daemons, or their starts, were others than before. */
  private change = 0;
  /** The starts of the live daemons, as one text to compare. */
  private fleet = "";

  private constructor(private readonly options: OwnStreamsOptions) {}

  /**
   * Creates an empty set.
   * @param options - What decides who is told.
   */
  static create(options: OwnStreamsOptions): OwnStreams {
    return new OwnStreams(options);
  }

  /** Adds a stream, and tells its keepers at once if they need to know. */
  add(id: string, service: string, version: string, now: number): void {
    const expiresAt = now + streamLifetimeMilliseconds;
    const state: OwnStreamState = {
      stream: { id, service, version, expiresAt },
      told: new Set(),
      toldChange: -1,
    };
    this.statesById.delete(id);
    this.statesById.set(id, state);
    if (this.options.isUncertain(service)) {
      this.tellKeepers(state);
    }
  }

  /** Removes a stream whose caller has received it whole. */
  remove(id: string): void {
    this.statesById.delete(id);
  }

  /**
   * Tells keepers of streams that they have not been told, as when another version appears, the registry is lost, or a
   * keeper starts again; called several times a second.
   * @param peers - The other live daemons.
   * @param now - Current time.
   */
  tellMissing(peers: readonly Peer[], now: number): void {
    this.dropExpired(now);
    const fleet = peers.map(getStart).join(" ");
    this.change += fleet === this.fleet ? 0 : 1;
    this.fleet = fleet;
    let toldCount = 0;
    for (const state of this.statesById.values()) {
      if (toldCount >= maxToldStreams) {
        return;
      }
      const isMissing = state.toldChange !== this.change;
      if (isMissing && this.options.isUncertain(state.stream.service)) {
        this.tellKeepers(state);
        toldCount += 1;
      }
    }
  }

  private tellKeepers(state: OwnStreamState): void {
    const { stream, told } = state;
    for (const keeper of this.options.getKeepers(stream.id)) {
      const start = getStart(keeper);
      if (!told.has(start)) {
        told.add(start);
        this.options.tell(stream, keeper);
      }
    }
    state.toldChange = this.change;
  }

  private dropExpired(now: number): void {
    for (const [id, { stream }] of this.statesById) {
      if (now < stream.expiresAt) {
        return;
      }
      this.statesById.delete(id);
    }
  }
}

function getStart({ address, incarnation }: Peer): string {
  return `${address}#${String(incarnation)}`;
}
