import type { FleetView } from "@pistachioway/kernel";
import { AdmissionQueues, type AdmissionQueuesDependencies } from "../ingress/index.js";

/** What the admission queues of a router work on. */
export interface AdmissionQueuesContext extends Omit<AdmissionQueuesDependencies, "getFleet"> {
  /** The other routers. */
  readonly view: FleetView;
}

/**
 * Creates the admission queues of a router.
 * @param context - What they work on.
 */
export function createAdmissionQueues({
  view,
  ...dependencies
}: AdmissionQueuesContext): AdmissionQueues {
  return AdmissionQueues.create({
    ...dependencies,
    getFleet: () => ({
      daemons: view.getPeakDaemonCount(),
      heard: view.getLiveStates(dependencies.getNow()).length + 1,
    }),
  });
}
