/** Latency and throughput of one path to the engines. */
export interface HopFigures {
  readonly path: "direct" | "daemon";
  readonly concurrency: number;
  readonly requestsPerSecond: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
  /** CPU time of the daemon per request; 0 for the direct path. */
  readonly cpuMicrosecondsPerRequest: number;
}

/** Control traffic and CPU time of one daemon in a fleet of real processes. */
export interface ControlFigures {
  readonly daemons: number;
  readonly requestsPerSecondPerDaemon: number;
  readonly sentBytesPerSecond: number;
  readonly receivedBytesPerSecond: number;
  /** CPU time of the daemon, as a fraction of one core. */
  readonly cpuShare: number;
  readonly platformCallsPerSecond: number;
}

/** Heap that each additional entry of a kind takes. */
export interface MemoryFigures {
  readonly entry: string;
  readonly entries: number;
  readonly bytesPerEntry: number;
}

/** Size of a configuration file and the time to parse and validate it. */
export interface ConfigurationFigures {
  readonly engines: number;
  readonly teams: number;
  readonly fileBytes: number;
  readonly gzipBytes: number;
  readonly acceptMilliseconds: number;
}

/** Cost of one placement decision. */
export interface DecisionFigures {
  readonly engines: number;
  readonly daemons: number;
  readonly medianMicroseconds: number;
  readonly allocatedBytes: number;
}

/** All figures that the tool measures, by section. */
export interface CapacityFigures {
  readonly hop: readonly HopFigures[];
  readonly control: readonly ControlFigures[];
  readonly memory: readonly MemoryFigures[];
  readonly configuration: readonly ConfigurationFigures[];
  readonly decision: readonly DecisionFigures[];
}
