export { getRoutingFaults } from "./getRoutingFaults.js";
export { getRoutingWarnings, type RoutingWarning } from "./getRoutingWarnings.js";
export { getTargetService, RouteTable } from "./RouteTable.js";
export {
  requestKindSchema,
  routedServiceSchema,
  routeSchema,
  routingSchema,
  type RequestKind,
  type RequestLimits,
  type RequestRoute,
  type RoutedService,
  type RoutedTeam,
  type Routing,
} from "./schema.js";
