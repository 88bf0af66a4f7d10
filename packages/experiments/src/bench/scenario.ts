import type { Conditions } from "./conditions.js";
import type { Fleet } from "./Fleet.js";

/** A fault or a change that a run is put through. */
export interface Scenario extends Conditions {
  readonly name: string;
  /**
   * Plans the events of the scenario.
   * @param fleet - Fleet to put through them.
   */
  readonly plan: (fleet: Fleet) => void;
}

const calm: Conditions = {
  viewDelayMilliseconds: 1000,
  reportDelayMilliseconds: 1000,
  extraDelayMilliseconds: 0.2,
  lossShare: 0,
};

const steady: Scenario = { ...calm, name: "steady", plan: () => undefined };

const churn: Scenario = {
  ...calm,
  name: "churn",
  plan(fleet) {
    const start = fleet.measuredFrom;
    for (let at = start; at < fleet.measuredUntil; at += 15_000) {
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
  ...calm,
  name: "surge",
  plan(fleet) {
    const from = fleet.measuredFrom + 20_000;
    fleet.surge = { from, until: from + 30_000 };
  },
};

const lag: Scenario = {
  ...calm,
  name: "lag",
  viewDelayMilliseconds: 5000,
  reportDelayMilliseconds: 5000,
  extraDelayMilliseconds: 30,
  plan: planSlowChurn,
};

const disagree: Scenario = {
  ...calm,
  name: "disagree",
  plan(fleet) {
    planSlowChurn(fleet);
    for (let at = fleet.measuredFrom; at < fleet.measuredUntil; at += 2000) {
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
  ...calm,
  name: "loss",
  lossShare: 0.02,
  plan(fleet) {
    const at = (fleet.measuredFrom + fleet.measuredUntil) / 2;
    fleet.events.addEvent(at, () => {
      fleet.loseDaemon(fleet.random.getIndex(fleet.daemons.length));
    });
  },
};

function planSlowChurn(fleet: Fleet): void {
  for (let at = fleet.measuredFrom; at < fleet.measuredUntil; at += 30_000) {
    fleet.events.addEvent(at, () => {
      fleet.restartEngine(fleet.random.getIndex(fleet.engines.length), 8000);
    });
  }
}

/** Every scenario, in the order in which it is reported. */
export const scenarios: readonly Scenario[] = [steady, churn, surge, lag, disagree, loss];
