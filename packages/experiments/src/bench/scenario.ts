import type { NetworkConditions } from "./conditions.js";
import type { SimulatedFleet } from "./SimulatedFleet.js";

/** Network conditions of a run, and the faults or load changes that occur in it. */
export interface Scenario extends NetworkConditions {
  readonly name: string;
  /**
   * Schedules the events of the scenario.
   * @param fleet - Fleet that the events act on.
   */
  readonly schedule: (fleet: SimulatedFleet) => void;
}

const defaultConditions: NetworkConditions = {
  viewDelayMilliseconds: 1000,
  reportDelayMilliseconds: 1000,
  extraDelayMilliseconds: 0.2,
  lossShare: 0,
};

const steady: Scenario = { ...defaultConditions, name: "steady", schedule: () => undefined };

const churn: Scenario = {
  ...defaultConditions,
  name: "churn",
  schedule(fleet) {
    const start = fleet.measurementStartsAt;
    for (let at = start; at < fleet.measurementEndsAt; at += 15_000) {
      fleet.events.addEvent(at, () => {
        fleet.restartEngine(fleet.random.getIndex(fleet.engines.length), 8000);
      });
    }
    fleet.events.addEvent(start + 20_000, () => {
      fleet.crashEngine(fleet.random.getIndex(fleet.engines.length), 10_000);
    });
    const flapping = fleet.random.getIndex(fleet.engines.length);
    for (let count = 0; count < 8; count += 1) {
      fleet.events.addEvent(start + 50_000 + count * 3000, () => {
        fleet.restartEngine(flapping, 1500);
      });
    }
  },
};

const surge: Scenario = {
  ...defaultConditions,
  name: "surge",
  schedule(fleet) {
    const from = fleet.measurementStartsAt + 20_000;
    fleet.surge = { from, until: from + 30_000 };
  },
};

const lag: Scenario = {
  ...defaultConditions,
  name: "lag",
  viewDelayMilliseconds: 5000,
  reportDelayMilliseconds: 5000,
  extraDelayMilliseconds: 30,
  schedule: scheduleSlowChurn,
};

const disagree: Scenario = {
  ...defaultConditions,
  name: "disagree",
  schedule(fleet) {
    scheduleSlowChurn(fleet);
    for (let at = fleet.measurementStartsAt; at < fleet.measurementEndsAt; at += 2000) {
      fleet.events.addEvent(at, () => {
        const daemon = fleet.random.getIndex(fleet.daemons.length);
        fleet.hideEngine(daemon, fleet.random.getIndex(fleet.engines.length), 3000);
      });
      fleet.events.addEvent(at + 1000, () => {
        const daemon = fleet.random.getIndex(fleet.daemons.length);
        fleet.hideDaemon(daemon, fleet.random.getIndex(fleet.daemons.length), 3000);
      });
    }
  },
};

const loss: Scenario = {
  ...defaultConditions,
  name: "loss",
  lossShare: 0.02,
  schedule(fleet) {
    const at = (fleet.measurementStartsAt + fleet.measurementEndsAt) / 2;
    fleet.events.addEvent(at, () => {
      fleet.killDaemon(fleet.random.getIndex(fleet.daemons.length));
    });
  },
};

function scheduleSlowChurn(fleet: SimulatedFleet): void {
  for (let at = fleet.measurementStartsAt; at < fleet.measurementEndsAt; at += 30_000) {
    fleet.events.addEvent(at, () => {
      fleet.restartEngine(fleet.random.getIndex(fleet.engines.length), 8000);
    });
  }
}

/** All scenarios, in the order of the report. */
export const scenarios: readonly Scenario[] = [steady, churn, surge, lag, disagree, loss];
