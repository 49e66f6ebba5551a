/** Builds target/jasminehead.cjs: the process for the users' platform as one bundle. */
import {mkdirSync} from 'node:fs';
import path from 'node:path';
import {build} from 'esbuild';

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
	// The native addon of cbor-x is not part of the bundle.
	alias: {'cbor-x': path.resolve('node_modules/cbor-x/index.js')},
	logLevel: 'warning',
});
