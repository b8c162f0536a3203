/** Estimates of how fast engines are, learned from the responses to requests. */
package org.ibisstand.routing.rates;
