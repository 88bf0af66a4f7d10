import { Module, type DynamicModule } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import { FastifyAdapter, type NestFastifyApplication } from "@nestjs/platform-fastify";
import { ActTask } from "../acts/index.js";
import { ChatTask } from "../chat/index.js";
import { ServiceTask } from "../services/index.js";
import { ActsController } from "./ActsController.js";
import { CallerRequestPipeline } from "./CallerRequestPipeline.js";
import { ChatController } from "./ChatController.js";
import { ProblemFilter } from "./ProblemFilter.js";
import { ServicesController } from "./ServicesController.js";

/** What the callers' listener serves with. */
export interface CallersApplicationDependencies {
  readonly pipeline: CallerRequestPipeline;
  readonly chats: ChatTask;
  readonly services: ServiceTask;
  readonly acts: ActTask;
  readonly bodyBytes: number;
  readonly createRequestId: () => string;
  readonly onInternalError: (error: unknown) => void;
}

@Module({})
class CallersModule {}

/**
 * Creates the HTTP application of the callers' listener.
 * @param parts - What the listener serves with.
 */
export async function createCallersApplication(
  parts: CallersApplicationDependencies,
): Promise<NestFastifyApplication> {
  const adapter = new FastifyAdapter({
    bodyLimit: parts.bodyBytes,
    genReqId: parts.createRequestId,
    forceCloseConnections: "idle",
    return503OnClosing: false,
  });
  const application = await NestFactory.create<NestFastifyApplication>(
    createCallersModule(parts),
    adapter,
    { logger: false, bodyParser: false },
  );
  keepBodiesAsBytes(application);
  application.useGlobalFilters(ProblemFilter.create(parts.onInternalError));
  return application;
}

function createCallersModule(parts: CallersApplicationDependencies): DynamicModule {
  return {
    module: CallersModule,
    controllers: [ChatController, ActsController, ServicesController],
    providers: [
      { provide: CallerRequestPipeline, useValue: parts.pipeline },
      { provide: ChatTask, useValue: parts.chats },
      { provide: ServiceTask, useValue: parts.services },
      { provide: ActTask, useValue: parts.acts },
    ],
  };
}

/** Bodies pass through unread, and the tasks parse what they need. */
function keepBodiesAsBytes(application: NestFastifyApplication): void {
  const server = application.getHttpAdapter().getInstance();
  server.removeAllContentTypeParsers();
  server.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, done) => {
    done(null, body);
  });
}
