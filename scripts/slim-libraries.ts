/** Plugin of esbuild that bundles only those parts of libraries that the process for the users' platform uses, since evaluating the rest takes most of the process's start. */
import path from 'node:path';
import type {Plugin} from 'esbuild';

/** Source of the module that takes the place of each library's entry point. */
const entryPoints = new Map([
	// The entry point of undici also evaluates fetch, caches, WebSocket and mocks.
	['undici', `
		import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
		import api from 'undici/lib/api/index.js';
		Object.assign(Dispatcher.prototype, api);
		export {default as Agent} from 'undici/lib/dispatcher/agent.js';
		export {default as Client} from 'undici/lib/dispatcher/client.js';
		export {default as DecoratorHandler} from 'undici/lib/handler/decorator-handler.js';
		export {default as buildConnector} from 'undici/lib/core/connect.js';
		export {default as errors} from 'undici/lib/core/errors.js';`],
	// The entry point of prom-client also evaluates the push gateway and the aggregation over worker processes.
	['prom-client', `
		export {default as Counter} from 'prom-client/lib/counter.js';
		export {default as Gauge} from 'prom-client/lib/gauge.js';
		export {default as Histogram} from 'prom-client/lib/histogram.js';
		export {default as Registry} from 'prom-client/lib/registry.js';
		export {default as collectDefaultMetrics} from 'prom-client/lib/defaultMetrics.js';`],
	// The entry point of zod also evaluates its error messages in every language.
	['zod', `
		import {config} from 'zod/v4/core';
		export * as z from 'zod-schemas';
		// A process parses too little to make up for compiling a function for each schema.
		config({jitless: true});`],
	['zod-schemas', `
		export * from './node_modules/zod/v4/classic/schemas.js';
		export {ZodError} from './node_modules/zod/v4/classic/errors.js';
		export {NEVER} from 'zod/v4/core';`],
	// No upstream speaks HTTP/2. undici does without the module if it cannot be loaded.
	['node:http2', 'throw new Error(\'HTTP/2 is not part of this bundle\');'],
]);

const pluginNamespace = 'slim-libraries';

export const slimLibraries: Plugin = {
	name: pluginNamespace,
	setup(build) {
		build.onResolve({filter: new RegExp(`^(?:${[...entryPoints.keys()].join('|')})$`)}, ({path: name}) => ({path: name, namespace: pluginNamespace}));
		build.onLoad({filter: /.*/, namespace: pluginNamespace}, ({path: name}) => ({contents: entryPoints.get(name)!, resolveDir: path.resolve('.')}));
	},
};
