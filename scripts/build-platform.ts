/** Builds target/jasminehead.cjs, an esbuild bundle of the process for the users' platform. */
import {mkdirSync} from 'node:fs';
import path from 'node:path';
import {build} from 'esbuild';
import {slimLibraries} from './slim-libraries.js';

mkdirSync('target', {recursive: true});
await build({
	entryPoints: ['platform/main.ts'],
	outfile: 'target/jasminehead.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minify: true,
	keepNames: true,
	// The bundle cannot contain the native addon of cbor-x, so it takes the pure JavaScript build.
	alias: {'cbor-x': path.resolve('node_modules/cbor-x/index.js')},
	plugins: [slimLibraries],
	logLevel: 'warning',
});
