import { UnknownLinkError } from "../errors/index.js";
import { HttpListener, parseBody, parseValue } from "../http/index.js";
import { DatagramLink } from "./DatagramLink.js";
import { Link } from "./Link.js";
import {
  datagramRulesSchema,
  faultProxyOptionsSchema,
  firedQuerySchema,
  linkSchema,
  modeBodySchema,
  rulesSchema,
  type FaultProxyOptions,
  type FaultProxySettings,
  type LinkOptions,
} from "./schema.js";

interface LinkRouteOptions {
  Params: { name: string };
}

/** Proxy between processes that applies faults to the traffic of its links. */
export class FaultProxy {
  readonly name: string;
  private readonly listener = HttpListener.create();
  private readonly linksByName = new Map<string, Link | DatagramLink>();

  private constructor(private readonly settings: FaultProxySettings) {
    this.name = settings.name;
    this.addControlRoutes();
  }

  /**
   * Creates a proxy without links that is not listening yet.
   * @param options - Options; omitted ones take their defaults.
   */
  static create(options: FaultProxyOptions = {}): FaultProxy {
    return new FaultProxy(faultProxyOptionsSchema.parse(options));
  }

  /** Gets the address of the control listener. */
  get address(): string {
    return this.listener.address;
  }

  /** Binds the control listener and returns its address. */
  listen(): Promise<string> {
    return this.listener.listen(this.settings.port);
  }

  /** Closes the control listener and every link. */
  async close(): Promise<void> {
    await this.listener.close();
    await Promise.all([...this.linksByName.values()].map((link) => link.close()));
  }

  /**
   * Adds a link, or replaces the one of the same name; returns its address.
   * @param options - Name, target and kind of the link.
   */
  async addLink(options: LinkOptions): Promise<string> {
    const { name, target, kind } = linkSchema.parse(options);
    void this.linksByName.get(name)?.close();
    const link = kind === "tcp" ? Link.create(name, target) : DatagramLink.create(name, target);
    this.linksByName.set(name, link);
    return link.listen();
  }

  /**
   * Gets a link by its name.
   * @param name - Name of the link.
   * @throws UnknownLinkError when no link has this name.
   */
  getLinkOrThrow(name: string): Link | DatagramLink {
    const link = this.linksByName.get(name);
    if (link === undefined) {
      throw new UnknownLinkError(name);
    }
    return link;
  }

  private addControlRoutes(): void {
    const { server } = this.listener;
    server.post("/_control/links", async (request) => ({
      address: await this.addLink(parseBody(linkSchema, request)),
    }));
    server.put<LinkRouteOptions>("/_control/links/:name/mode", (request) => {
      const link = this.getLinkOrThrow(request.params.name);
      link.setMode(parseBody(modeBodySchema, request).mode);
      return link.getCounters();
    });
    server.put<LinkRouteOptions>("/_control/links/:name/rules", (request) => {
      const link = this.getLinkOrThrow(request.params.name);
      if (link instanceof Link) {
        link.setRules(parseBody(rulesSchema, request));
      } else {
        link.setRules(parseBody(datagramRulesSchema, request));
      }
      return link.getCounters();
    });
    server.post<LinkRouteOptions>("/_control/links/:name/release", (request) => {
      const link = this.getLinkOrThrow(request.params.name);
      link.release();
      return link.getCounters();
    });
    server.get<LinkRouteOptions>("/_control/links/:name", async (request) => {
      const link = this.getLinkOrThrow(request.params.name);
      const { atLeast, wait } = parseValue(firedQuerySchema, request.query);
      await link.firingCounter.waitFor(atLeast, wait);
      return link.getCounters();
    });
  }
}
